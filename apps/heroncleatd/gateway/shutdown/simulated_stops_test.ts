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

const byDeadline: StopPolicy = (departure, request) =>
  departure.hasTimeFor(request);
const refuseAll: StopPolicy = () => false;

// Guards against requests that an entry accepts after the signal, and cuts off at
// the end of its grace period.
test.each([1, 1.5])(
  "entries that are stopped in series cut no request that they accept, with upstreams %d times slower",
  (slowdown) => {
    const outcomes = play({ slowdown });
    expect(total(outcomes).acceptedAfterSignal).toBeGreaterThan(0);
    expect(outcomes.map(({ cutAfterSignal }) => cutAfterSignal))
      .toEqual(outcomes.map(() => 0));
  },
);

test("callers get as much as from entries that refuse all, with as few tries", () => {
  const own = total(play({}));
  const other = total(play({ policy: refuseAll }));
  expect(other.requests).toBe(own.requests);
  expect(own.whole).toBeGreaterThan(
    other.whole - MAX_UNSERVED_SHARE * own.requests,
  );
  expect(own.tries).toBeLessThan(other.tries * (1 + MAX_FURTHER_TRIES_SHARE));
});

/** Sums up the outcomes of all seeds, for each kind of request. */
function play(
  { policy = byDeadline, slowdown = 1 }: {
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
