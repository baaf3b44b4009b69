import {
  LeasedShare,
  type RetryBudgetSettings,
  SharedRetryBudget,
} from "./mod.ts";
import { simulateRetries } from "./simulated_retries.ts";

const SEEDS = 60;
const BOUNDS = { window: 10_000, ratio: 0.2, minRetries: 62 };

const scenarios = [
  { entryCount: 11, requestsPerSecond: 12 },
  { entryCount: 11, requestsPerSecond: 36 },
  { entryCount: 12, requestsPerSecond: 103 },
  { entryCount: 81, requestsPerSecond: 400 },
  { entryCount: 200, requestsPerSecond: 500 },
];

// Guards against retries beyond the bound where disruptions are close together
// and entries start, are cut off or follow a change of the settings.
test(
  "retries of all entries together stay within their bound in every window",
  () => {
    const exceeded: unknown[] = [];
    for (const scenario of scenarios) {
      for (let seed = 1; seed <= SEEDS; seed += 1) {
        const { utilization } = simulateRetries({
          ...scenario,
          seed,
          bounds: BOUNDS,
          start: startEntry,
        });
        if (utilization > 1) {
          exceeded.push({ ...scenario, seed, utilization });
        }
      }
    }
    expect(exceeded).toEqual([]);
  },
  120_000,
);

function startEntry({ isFresh, bounds }: {
  isFresh: boolean;
  bounds: () => RetryBudgetSettings;
}) {
  const { window } = bounds();
  const share = new LeasedShare({ lease: 3000, window, isFresh });
  const budget = new SharedRetryBudget(bounds);
  return {
    recordContact: ({ sharing }: { sharing: number }, now: number) =>
      share.recordContact(sharing, now),
    recordRequest: (now: number) => budget.recordRequest(now),
    tryConsume: (now: number) => budget.tryConsume(now, share.value(now)),
  };
}
