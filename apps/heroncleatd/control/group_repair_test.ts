import * as fc from "fast-check";
import { SimulatedGroup } from "./simulated_group.ts";

/** Time in which a successor must be able to bear the next loss. */
const CATCH_UP_TIME = 4000;
/** Time after which settings name other seeds. */
const SEED_LAG = 3000;
/** Time in which a group stands again once its VMs are back. */
const RECOVERY_TIME = 3000;

beforeEach(() => {
  jest.useFakeTimers();
});

afterEach(() => {
  jest.useRealTimers();
});

/** The VMs that found the group and are its seeds. */
const FOUNDERS = ["a", "b", "c"];

/** Starts a group of four VMs. */
async function startGroup(seed: number): Promise<SimulatedGroup> {
  const group = new SimulatedGroup([...FOUNDERS, "d"], {
    seed,
    advanceTimers: (milliseconds) =>
      jest.advanceTimersByTimeAsync(milliseconds),
  });
  await group.run(6000);
  expect(group.leader).toBeDefined();
  return group;
}

/** Takes a VM away for good; its successor comes at another address. */
async function replace(
  group: SimulatedGroup,
  names: { gone: string; successor: string },
): Promise<void> {
  group.remove(names.gone);
  await group.run(550);
  group.add(names.successor);
  await group.run(SEED_LAG);
  group.seeds = group.addresses.slice(0, 3);
  await group.run(CATCH_UP_TIME - SEED_LAG);
}

/** A VM loses its disk while all others lose their power. */
async function loseDiskAndPower(
  group: SimulatedGroup,
  name: string,
): Promise<void> {
  const names = [...group.vms.keys()];
  for (const each of names) {
    group.powerOff(each);
  }
  group.wipe(name);
  await group.run(1500);
  for (const each of names) {
    group.powerOn(each);
  }
  await group.run(RECOVERY_TIME);
}

function expectWhole(group: SimulatedGroup): void {
  expect(group.leader).toBeDefined();
  expect(group.committed).toEqual(expect.arrayContaining(group.acknowledged));
}

// What callers saw: after a loss of power nothing was served any more, and the
// configuration that had been confirmed just before couldn't be read.
//
// Before it two VMs had been replaced, one after the other, and each successor
// had caught up within 3 s, before its predecessor counted as lost. So it was
// made a voter beside the one that was gone, and nothing looked again: of six
// voters two were gone for good, four were needed and four were left. One disk
// lost with the power was then one too many. Evidence: the members that the
// leaders logged (33 s: six names, two of them gone for 3 and 28 s), and no
// leader after the power was back.
test("voters that are gone leave a group whose learners catch up sooner", async () => {
  const group = await startGroup(1);
  await replace(group, { gone: "c", successor: "c2" });
  await replace(group, { gone: "a", successor: "a2" });
  expect(group.voters).not.toContain("c");
  expect(group.voters).not.toContain("a");
  await loseDiskAndPower(group, "c2");
  expectWhole(group);
  group.close();
});

// What callers saw: no change was confirmed any more for a minute, and nothing
// was served after a loss of power.
//
// The VM that led had replaced a founder and was neither founder nor seed. One
// that lost its disk meanwhile asked the founders and seeds to be taken in, and
// those that don't lead said no. So the group went on with a voter short, and
// lost its quorum when the leader was replaced too. Evidence: `leader none` at
// the empty replica, no `Takes in` at any other.
test("a replica with an empty disk reaches a leader that founded nothing", async () => {
  const group = await startGroup(2);
  await replace(group, { gone: "b", successor: "b2" });
  const newcomer = await leadByNewcomer(group);
  group.powerOff("c");
  group.wipe("c");
  await group.run(1000);
  group.powerOn("c");
  await group.run(CATCH_UP_TIME);
  expect(isMember(group, "c")).toBe(true);
  await replace(group, { gone: newcomer, successor: "e" });
  await loseDiskAndPower(group, "a");
  expectWhole(group);
  group.close();
});

/**
 * Takes the power from leaders for a moment until one leads that came later.
 */
async function leadByNewcomer(group: SimulatedGroup): Promise<string> {
  for (let tries = 0; tries < 40; tries += 1) {
    const leader = group.leader?.name ?? "";
    if (!FOUNDERS.includes(leader)) {
      return leader;
    }
    group.powerOff(leader);
    await group.run(1500);
    group.powerOn(leader);
    await group.run(CATCH_UP_TIME);
  }
  throw new Error("Only founders ever lead.");
}

function isMember(group: SimulatedGroup, name: string): boolean {
  const { disk } = group.vms.get(name)!;
  const members = group.leader?.process?.replica.members ?? [];
  return members.some(({ id }) => id === disk.id);
}

/** One trouble that a group of four must bear, and the time it needs after. */
const TROUBLES: Readonly<
  Record<string, (group: SimulatedGroup, name: string) => Promise<void>>
> = {
  replaced: (group, name) =>
    replace(group, { gone: name, successor: `${name}x` }),
  diskLost: async (group, name) => {
    group.powerOff(name);
    group.wipe(name);
    await group.run(1000);
    group.powerOn(name);
    await group.run(CATCH_UP_TIME);
  },
  dark: async (group, name) => {
    group.powerOff(name);
    await group.run(7000);
    group.powerOn(name);
    await group.run(CATCH_UP_TIME);
  },
  restarted: async (group, name) => {
    group.powerOff(name);
    await group.run(600);
    group.powerOn(name);
    await group.run(CATCH_UP_TIME);
  },
  allDark: async (group) => {
    const names = [...group.vms.keys()];
    for (const each of names) {
      group.powerOff(each);
    }
    await group.run(1500);
    for (const each of names) {
      group.powerOn(each);
    }
    await group.run(CATCH_UP_TIME);
  },
  cutOff: async (group, name) => {
    group.cut([name]);
    await group.run(6000);
    group.cut([]);
    await group.run(CATCH_UP_TIME);
  },
  halves: async (group, name) => {
    const other = [...group.vms.keys()].find((each) => each !== name)!;
    group.cut([name, other]);
    await group.run(6000);
    group.cut([]);
    await group.run(CATCH_UP_TIME);
  },
};

const RUNS = Number(process.env["FUZZ_RUNS"] ?? 1) * 25;

// Losses come one after the other, each once the group had the time to bear the
// next; at the end a disk is lost while all other VMs lose their power.
test("a group bears any single loss after any other", async () => {
  const kinds = Object.keys(TROUBLES);
  const trouble = fc.tuple(fc.constantFrom(...kinds), fc.nat(3));
  await fc.assert(
    fc.asyncProperty(
      fc.nat(),
      fc.array(trouble, { minLength: 1, maxLength: 7 }),
      fc.nat(3),
      async (seed, troubles, last) => {
        const group = await startGroup(seed);
        const nameOf = (at: number) => [...group.vms.keys()][at]!;
        for (const [kind, at] of troubles) {
          await TROUBLES[kind]!(group, nameOf(at));
          expectWhole(group);
          expect(group.voters).toHaveLength(3);
          const names = [...group.vms.keys()];
          expect(names.filter((name) => !isMember(group, name))).toEqual([]);
        }
        await loseDiskAndPower(group, nameOf(last));
        expectWhole(group);
        group.close();
      },
    ),
    { numRuns: RUNS, seed: 11, endOnFailure: true },
  );
});
