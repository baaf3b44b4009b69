import * as fc from "fast-check";
import { SimulatedGroup } from "./simulated_group.ts";

/** Time within which the group must tolerate the next loss. */
const CATCH_UP_TIME_MS = 6000;
/** Time within which the group must recover once its VMs run again. */
const RECOVERY_TIME_MS = 4000;
const LOSSES = 2;
const RUNS = Number(process.env["FUZZ_RUNS"] ?? 1) * 15;

/** VMs with a disk; each name is the zone followed by a number. */
const DEPLOYMENTS = {
  "3 zones of 2 disks": ["a1", "b1", "c1", "a2", "b2", "c2"],
  "4 zones of 2 disks": ["a1", "b1", "c1", "d1", "a2", "b2", "c2", "d2"],
  "5 zones of 1 disk": ["a1", "b1", "c1", "d1", "e1"],
};

beforeEach(() => {
  jest.useFakeTimers();
});

afterEach(() => {
  jest.useRealTimers();
});

/** Conditions under which two disks are lost. */
const SCENARIOS = [
  "disks_only",
  "power_loss",
  "during_replacement",
  "repeated",
] as const;

// Guards against a group with too few voters for the promised losses: two lost
// disks then lose an acknowledged change or leave the group without a leader.
describe.each(Object.entries(DEPLOYMENTS))("%s", (_, names) => {
  test("tolerate the loss of any two disks at any time", async () => {
    const pair = fc.shuffledSubarray(names, {
      minLength: LOSSES,
      maxLength: LOSSES,
    });
    await fc.assert(
      fc.asyncProperty(
        fc.nat(),
        pair,
        fc.boolean(),
        fc.constantFrom(...SCENARIOS),
        fc.integer({ min: 1500, max: 9000 }),
        async (seed, drawnNames, includesLeader, scenario, lossTime) => {
          const group = new SimulatedGroup(names, {
            seed,
            losses: LOSSES,
            advanceTimers: (milliseconds) =>
              jest.advanceTimersByTimeAsync(milliseconds),
          });
          await group.run(lossTime);
          const lost = includesLeader
            ? includeLeader(group, drawnNames)
            : drawnNames;
          await loseDisks(group, lost, scenario);
          expectRecovered(group);
          if (scenario === "repeated") {
            await group.run(CATCH_UP_TIME_MS);
            await loseDisks(
              group,
              includeLeader(group, drawnNames),
              "disks_only",
            );
            expectRecovered(group);
          }
          expect(group.voters).toHaveLength(2 * LOSSES + 1);
          group.close();
        },
      ),
      { numRuns: RUNS, seed: 5, endOnFailure: true },
    );
  });
});

/** Returns the leader and one of the given VMs that isn't the leader. */
function includeLeader(
  group: SimulatedGroup,
  lost: readonly string[],
): string[] {
  const leader = group.leader!.name;
  return [leader, lost.find((name) => name !== leader)!];
}

async function loseDisks(
  group: SimulatedGroup,
  lost: readonly string[],
  scenario: typeof SCENARIOS[number],
): Promise<void> {
  const [first, second] = lost as [string, string];
  group.propose();
  await group.run(30);
  if (scenario === "during_replacement") {
    // The second disk is lost while a learner replaces the first voter.
    loseDiskContents(group, [first]);
    await group.run(2000 + group.now % 1500);
    loseDiskContents(group, [second]);
  } else {
    loseDiskContents(group, lost);
  }
  const poweredOff = scenario === "power_loss" ? [...group.vms.keys()] : lost;
  for (const name of poweredOff) {
    group.powerOff(name);
  }
  await group.run(900);
  for (const name of poweredOff) {
    group.powerOn(name);
  }
  await group.run(RECOVERY_TIME_MS + CATCH_UP_TIME_MS);
}

function loseDiskContents(
  group: SimulatedGroup,
  names: readonly string[],
): void {
  for (const name of names) {
    group.powerOff(name);
    group.wipeDisk(name);
  }
}

function expectRecovered(group: SimulatedGroup): void {
  expect(group.leader).toBeDefined();
  expect(group.committed).toEqual(expect.arrayContaining(group.acknowledged));
}
