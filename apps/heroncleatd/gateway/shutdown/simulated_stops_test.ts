import {
  simulatedKinds,
  simulateStops,
  type StopOutcome,
  type StopPolicy,
} from "./simulated_stops.ts";

const SEED_COUNT = Number(process.env["FUZZ_RUNS"] ?? 1) * 5;
/** Share of the tries that another policy may save its callers. */
const MAX_FURTHER_TRIES_SHARE = 0.01;
/** Share of the requests that another policy may serve beyond. */
const MAX_UNSERVED_SHARE = 0.001;
/** Largest share of short requests that are refused without need. */
const MAX_NEEDLESS_REFUSAL_SHARE = 0.25;

const estimate: StopPolicy = (departure, request) =>
  departure.hasTimeFor(request);
const otherPolicies: Readonly<Record<string, StopPolicy>> = {
  "the deadline alone": (departure, { deadline }) =>
    deadline <= departure.endsAt,
  "no request": () => false,
};

// Guards against requests that an entry with a short history accepts after the
// signal, and cuts off at the end of its grace period.
test.each([1, 1.5])(
  "entries that are stopped in series cut no request that they accept, with upstreams %d times slower",
  (slowdown) => {
    const outcomes = play({ slowdown });
    expect(total(outcomes).acceptedAfterSignal).toBeGreaterThan(0);
    expect(outcomes.map(({ cutAfterSignal }) => cutAfterSignal))
      .toEqual(outcomes.map(() => 0));
  },
);

test.each(Object.entries(otherPolicies))(
  "callers get as much as from entries that go by %s, with as few tries",
  (_, policy) => {
    const own = total(play({}));
    const other = total(play({ policy }));
    expect(other.requests).toBe(own.requests);
    expect(own.whole).toBeGreaterThan(
      other.whole - MAX_UNSERVED_SHARE * own.requests,
    );
    expect(own.tries).toBeLessThan(
      other.tries * (1 + MAX_FURTHER_TRIES_SHARE),
    );
  },
);

test("short requests are served although their timeout outlasts the entry", () => {
  const [, calls] = play({});
  const { needlessRefusals, acceptedAfterSignal } = calls!;
  const share = needlessRefusals / (needlessRefusals + acceptedAfterSignal);
  expect(share).toBeLessThan(MAX_NEEDLESS_REFUSAL_SHARE);
});

/** Sums up the outcomes of all seeds, for each kind of request. */
function play(
  { policy = estimate, slowdown = 1 }: {
    policy?: StopPolicy;
    slowdown?: number;
  },
): StopOutcome[] {
  const sums = new Map<string, StopOutcome[]>();
  for (let seed = 0; seed < SEED_COUNT; seed += 1) {
    const options = { kinds: simulatedKinds, policy, slowdown };
    for (const [name, outcome] of simulateStops(seed, options)) {
      sums.set(name, [...sums.get(name) ?? [], outcome]);
    }
  }
  return [...sums.values()].map(total);
}

function total(outcomes: readonly StopOutcome[]): StopOutcome {
  const [first, ...others] = outcomes;
  const sum = { ...first! };
  for (const outcome of others) {
    for (const key of Object.keys(sum) as (keyof StopOutcome)[]) {
      sum[key] += outcome[key];
    }
  }
  return sum;
}
