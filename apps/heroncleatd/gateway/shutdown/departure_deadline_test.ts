import { createSeededRandom, type Random } from "@heroncleat/base";
import { DepartureDeadline } from "./departure_deadline.ts";

const SEED_COUNT = Number(process.env["FUZZ_RUNS"] ?? 1) * 200;
const GRACE_PERIOD_MS = 8000;
/** Time until all callers have noticed the shutdown. */
const CALLER_LIST_AGE_MS = 5000;
/** Time between the start of the entry and its shutdown. */
const SERVING_TIMES_MS = [1000, 4000, 8000, 15_000, 30_000];
/** Rate for each kind of request. */
const ARRIVALS_PER_SECOND = 4;

type RequestKind = {
  readonly timeout: number;
  readonly took: (random: Random) => number;
};

function between(random: Random, min: number, max: number): number {
  return min + random() * (max - min);
}

function normal(random: Random): number {
  return Math.sqrt(-2 * Math.log(1 - random())) *
    Math.cos(2 * Math.PI * random());
}

const KINDS: Readonly<Record<string, RequestKind>> = {
  "long streams": {
    timeout: 15_000,
    took: (random) =>
      between(random, 300, 1200) +
      between(random, 20, 370) * between(random, 15, 20),
  },
  "slow streams": {
    timeout: 15_000,
    took: (random) => between(random, 800, 7000),
  },
  "streams without a longest one": {
    timeout: 15_000,
    took: (random) => 1800 * Math.exp(0.44 * normal(random)),
  },
  "short streams": {
    timeout: 2500,
    took: (random) => between(random, 60, 250) + between(random, 3, 90) * 3,
  },
  "idempotent calls": {
    timeout: 3000,
    took: (random) => between(random, 10, 200) * (random() < 0.01 ? 5 : 1),
  },
  "non-idempotent calls with a long timeout": {
    timeout: 12_000,
    took: (random) => between(random, 200, 1500) * (random() < 0.02 ? 2 : 1),
  },
  "non-idempotent calls with a long tail": {
    timeout: 12_000,
    took: (random) =>
      random() < 0.25 ? 400 - 1000 * Math.log(1 - random()) : 50,
  },
};

/** Outcomes of the requests that arrived during the shutdown. */
type Counts = {
  arrived: number;
  interrupted: number;
  /** Requests that were refused although their deadline ends in time. */
  refusedInTime: number;
};

function simulate(
  kind: RequestKind,
  { seed, servingTime }: { seed: number; servingTime: number },
): Counts {
  const random = createSeededRandom(Math.imul(seed + 1, 0x9e3779b1));
  let now = 0;
  const departure = new DepartureDeadline({ steady: () => now });
  const counts = { arrived: 0, interrupted: 0, refusedInTime: 0 };
  while (now < servingTime + GRACE_PERIOD_MS * 0.75) {
    const arriveAt = now - Math.log(1 - random()) * 1000 / ARRIVALS_PER_SECOND;
    if (now < servingTime && arriveAt >= servingTime) {
      now = servingTime;
      departure.begin(GRACE_PERIOD_MS);
    }
    now = arriveAt;
    const sinceStop = now - servingTime;
    if (sinceStop <= 0 || random() < sinceStop / CALLER_LIST_AGE_MS) {
      continue;
    }
    const deadline = now + kind.timeout;
    const endsAt = Math.min(now + kind.took(random), deadline);
    const isAccepted = departure.hasTimeFor({ deadline });
    counts.arrived += 1;
    counts.interrupted += isAccepted && endsAt > departure.endsAt ? 1 : 0;
    counts.refusedInTime += !isAccepted && deadline <= departure.endsAt ? 1 : 0;
  }
  return counts;
}

// Guards against requests that are accepted during a shutdown and cut off by its
// end. Refusals are counted too, since an entry that refuses everything
// interrupts nothing.
test.each(Object.entries(KINDS))(
  "a shutdown interrupts none of the accepted %s and refuses none in time",
  (_, kind) => {
    const sum = { arrived: 0, interrupted: 0, refusedInTime: 0 };
    for (const servingTime of SERVING_TIMES_MS) {
      for (let seed = 0; seed < SEED_COUNT; seed += 1) {
        const counts = simulate(kind, { seed, servingTime });
        for (const key of Object.keys(sum) as (keyof Counts)[]) {
          sum[key] += counts[key];
        }
      }
    }
    expect(sum.arrived).toBeGreaterThan(
      SERVING_TIMES_MS.length * SEED_COUNT * ARRIVALS_PER_SECOND,
    );
    expect(sum.interrupted).toBe(0);
    expect(sum.refusedInTime).toBe(0);
  },
);

test("an entry that isn't shutting down accepts everything", () => {
  const departure = new DepartureDeadline({ steady: () => 0 });
  expect(departure.hasTimeFor({ deadline: 1e9 })).toBe(true);
});

test("the grace period counts from the signal", () => {
  const departure = new DepartureDeadline({ steady: () => 500 });
  departure.begin(GRACE_PERIOD_MS, 100);
  expect(departure.exitsAt).toBeLessThan(100 + GRACE_PERIOD_MS);
  expect(departure.hasTimeFor({ deadline: 100 + GRACE_PERIOD_MS })).toBe(false);
});
