import { createSeededRandom } from "@heroncleat/base";
import { SimulatedLeaves } from "./simulated_leaves.ts";

const SEEDS = 300;
/** Time for which an upstream serves after its leave was acknowledged. */
const DRAIN_TIME = 2000;

/** Seeds in which an entry used the upstream for too long. */
async function countLate(isGroup: boolean): Promise<number> {
  let late = 0;
  for (let seed = 1; seed <= SEEDS; seed += 1) {
    const random = createSeededRandom(seed);
    const leaves = new SimulatedLeaves({ random, isGroup });
    const { acknowledgedAt, lastUsedAt } = await leaves.run();
    expect(acknowledgedAt).toBeLessThan(Infinity);
    late += lastUsedAt - acknowledgedAt >= DRAIN_TIME ? 1 : 0;
  }
  return late;
}

test(
  "no entry uses an upstream that left, whatever replica is lost",
  async () => {
    expect(await countLate(true)).toBe(0);
  },
  120_000,
);

// Shows that the simulation finds what it is for: with acknowledgements by one
// replica alone, which was so, some of the same seeds fail.
test("acknowledged by one replica alone, leaves are lost with it", async () => {
  expect(await countLate(false)).toBeGreaterThan(0);
}, 120_000);
