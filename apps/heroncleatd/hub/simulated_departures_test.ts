import { createSeededRandom } from "@heroncleat/base";
import { SimulatedDepartures } from "./simulated_departures.ts";

const SEED_COUNT = 300;
/**
 * Time for which an upstream still serves after its departure was acknowledged.
 */
const DRAIN_TIME_MS = 2000;

/** Counts the seeds with which an entry used the upstream for too long. */
async function countLateUses(isReplicated: boolean): Promise<number> {
  let lateCount = 0;
  for (let seed = 1; seed <= SEED_COUNT; seed += 1) {
    const random = createSeededRandom(seed);
    const simulation = new SimulatedDepartures({ random, isReplicated });
    const { acknowledgedAt, lastUsedAt } = await simulation.run();
    expect(acknowledgedAt).toBeLessThan(Infinity);
    lateCount += lastUsedAt - acknowledgedAt >= DRAIN_TIME_MS ? 1 : 0;
  }
  return lateCount;
}

test(
  "no entry uses a departed upstream after a replica is lost",
  async () => {
    expect(await countLateUses(true)).toBe(0);
  },
  120_000,
);

// Checks that the simulation can detect the failure: without replication some
// of the same seeds fail.
test(
  "departures that only one replica acknowledged can be lost with it",
  async () => {
    expect(await countLateUses(false)).toBeGreaterThan(0);
  },
  120_000,
);
