import * as fc from "fast-check";
import { SimulatedGroup } from "./simulated_group.ts";

/** Time within which a replacement must tolerate the next loss. */
const CATCH_UP_TIME_MS = 4000;
/** Delay until the settings list the new seeds. */
const SEED_UPDATE_DELAY_MS = 3000;
/** Time within which a group must recover once its VMs run again. */
const RECOVERY_TIME_MS = 3000;

beforeEach(() => {
  jest.useFakeTimers();
});

afterEach(() => {
  jest.useRealTimers();
});

/** The initial members, which are also the seeds. */
const INITIAL_MEMBERS = ["a", "b", "c"];

async function startGroup(seed: number): Promise<SimulatedGroup> {
  const group = new SimulatedGroup([...INITIAL_MEMBERS, "d"], {
    seed,
    advanceTimers: (milliseconds) =>
      jest.advanceTimersByTimeAsync(milliseconds),
  });
  await group.run(6000);
  expect(group.leader).toBeDefined();
  return group;
}

/** Removes a VM permanently and adds its replacement at another address. */
async function replaceVm(
  group: SimulatedGroup,
  names: { removed: string; replacement: string },
): Promise<void> {
  group.remove(names.removed);
  await group.run(550);
  group.add(names.replacement);
  await group.run(SEED_UPDATE_DELAY_MS);
  group.seeds = group.addresses.slice(0, 3);
  await group.run(CATCH_UP_TIME_MS - SEED_UPDATE_DELAY_MS);
}

/** One VM loses its disk while all VMs lose power. */
async function loseDiskAndPower(
  group: SimulatedGroup,
  name: string,
): Promise<void> {
  const names = [...group.vms.keys()];
  for (const each of names) {
    group.powerOff(each);
  }
  group.wipeDisk(name);
  await group.run(1500);
  for (const each of names) {
    group.powerOn(each);
  }
  await group.run(RECOVERY_TIME_MS);
}

function expectRecovered(group: SimulatedGroup): void {
  expect(group.leader).toBeDefined();
  expect(group.committed).toEqual(expect.arrayContaining(group.acknowledged));
}

// A lost voter that keeps its vote beside its replacement raises the quorum, so
// that one more lost disk leaves the group without a leader.
test("lost voters are removed even if replacements catch up before the loss is detected", async () => {
  const group = await startGroup(1);
  await replaceVm(group, { removed: "c", replacement: "c2" });
  await replaceVm(group, { removed: "a", replacement: "a2" });
  expect(group.voters).not.toContain("c");
  expect(group.voters).not.toContain("a");
  await loseDiskAndPower(group, "c2");
  expectRecovered(group);
  group.close();
});

// A replica with an empty disk only knows the initial members and the seeds. If
// its join request doesn't reach a leader outside both, the group stays a voter
// short and loses its quorum with the next loss.
test("a replica with an empty disk joins through a leader that is not an initial member", async () => {
  const group = await startGroup(2);
  await replaceVm(group, { removed: "b", replacement: "b2" });
  const newLeader = await electNewMember(group);
  group.powerOff("c");
  group.wipeDisk("c");
  await group.run(1000);
  group.powerOn("c");
  await group.run(CATCH_UP_TIME_MS);
  expect(isMember(group, "c")).toBe(true);
  await replaceVm(group, { removed: newLeader, replacement: "e" });
  await loseDiskAndPower(group, "a");
  expectRecovered(group);
  group.close();
});

/** Restarts leaders until a VM leads that isn't an initial member. */
async function electNewMember(group: SimulatedGroup): Promise<string> {
  for (let attempt = 0; attempt < 40; attempt += 1) {
    const leader = group.leader?.name ?? "";
    if (!INITIAL_MEMBERS.includes(leader)) {
      return leader;
    }
    group.powerOff(leader);
    await group.run(1500);
    group.powerOn(leader);
    await group.run(CATCH_UP_TIME_MS);
  }
  throw new Error("No VM outside the initial members became leader.");
}

function isMember(group: SimulatedGroup, name: string): boolean {
  const { disk } = group.vms.get(name)!;
  const members = group.leader?.process?.replica.members ?? [];
  return members.some(({ id }) => id === disk.id);
}

/** Single faults that a group of four must tolerate, each with its recovery. */
const FAULTS: Readonly<
  Record<string, (group: SimulatedGroup, name: string) => Promise<void>>
> = {
  replaced: (group, name) =>
    replaceVm(group, { removed: name, replacement: `${name}x` }),
  diskLost: async (group, name) => {
    group.powerOff(name);
    group.wipeDisk(name);
    await group.run(1000);
    group.powerOn(name);
    await group.run(CATCH_UP_TIME_MS);
  },
  poweredOff: async (group, name) => {
    group.powerOff(name);
    await group.run(7000);
    group.powerOn(name);
    await group.run(CATCH_UP_TIME_MS);
  },
  restarted: async (group, name) => {
    group.powerOff(name);
    await group.run(600);
    group.powerOn(name);
    await group.run(CATCH_UP_TIME_MS);
  },
  allPoweredOff: async (group) => {
    const names = [...group.vms.keys()];
    for (const each of names) {
      group.powerOff(each);
    }
    await group.run(1500);
    for (const each of names) {
      group.powerOn(each);
    }
    await group.run(CATCH_UP_TIME_MS);
  },
  isolated: async (group, name) => {
    group.isolate([name]);
    await group.run(6000);
    group.isolate([]);
    await group.run(CATCH_UP_TIME_MS);
  },
  partitioned: async (group, name) => {
    const other = [...group.vms.keys()].find((each) => each !== name)!;
    group.isolate([name, other]);
    await group.run(6000);
    group.isolate([]);
    await group.run(CATCH_UP_TIME_MS);
  },
};

const RUNS = Number(process.env["FUZZ_RUNS"] ?? 1) * 25;

// Guards against a repair that leaves the group unable to tolerate the next
// fault. The last one is a lost disk together with a loss of power on all VMs.
test("a group tolerates any single fault after any sequence of repaired faults", async () => {
  const kinds = Object.keys(FAULTS);
  const fault = fc.tuple(fc.constantFrom(...kinds), fc.nat(3));
  await fc.assert(
    fc.asyncProperty(
      fc.nat(),
      fc.array(fault, { minLength: 1, maxLength: 7 }),
      fc.nat(3),
      async (seed, faults, last) => {
        const group = await startGroup(seed);
        const nameOf = (index: number) => [...group.vms.keys()][index]!;
        for (const [kind, index] of faults) {
          await FAULTS[kind]!(group, nameOf(index));
          expectRecovered(group);
          expect(group.voters).toHaveLength(3);
          const names = [...group.vms.keys()];
          expect(names.filter((name) => !isMember(group, name))).toEqual([]);
        }
        await loseDiskAndPower(group, nameOf(last));
        expectRecovered(group);
        group.close();
      },
    ),
    { numRuns: RUNS, seed: 11, endOnFailure: true },
  );
});
