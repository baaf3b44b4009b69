import type { UpstreamRecord } from "@heroncleat/serving";
import { LeaveReplicator } from "./leave_replicator.ts";

const OWN = "a:1";
const RECORD: UpstreamRecord = {
  id: "u1",
  name: "u1",
  born: undefined,
  service: "desk",
  address: "10.0.0.1:80",
  zone: "a",
  slots: 4,
  sequence: 3,
  state: "gone",
  isSpot: false,
  leavesIn: undefined,
};

beforeEach(() => {
  jest.useFakeTimers();
});

afterEach(() => {
  jest.useRealTimers();
});

/** Members that confirm at once, never, or fail at once. */
function play(options: {
  members?: readonly string[] | undefined;
  confirming?: readonly string[];
  silent?: readonly string[];
  tolerated?: number;
  isDiskFull?: boolean;
}) {
  const told: string[] = [];
  const replicator = new LeaveReplicator({
    members: () => options.members,
    ownAddress: OWN,
    toleratedLosses: () => options.tolerated ?? 1,
    keep: () =>
      options.isDiskFull
        ? Promise.reject(new Error("no space left"))
        : Promise.resolve(),
    send: (member, _record, timeout) => {
      told.push(member);
      if (options.confirming?.includes(member)) {
        return Promise.resolve();
      }
      return new Promise((_, reject) => {
        const wait = options.silent?.includes(member) ? timeout : 0;
        setTimeout(() => reject(new Error("no answer")), wait);
      });
    },
  });
  return { replicator, told };
}

const FOUR = [OWN, "b:1", "c:1", "d:1"];

test("one confirmation is enough where one member may be lost", async () => {
  const { replicator } = play({ members: FOUR, confirming: ["c:1"] });
  const done = replicator.replicate(RECORD);
  await jest.advanceTimersByTimeAsync(0);
  const { knownBy, ...rest } = await done;
  expect(rest).toEqual({ isSafe: true, isNews: true });
  expect([...knownBy].sort()).toEqual([OWN, "c:1"]);
});

test("one confirmation is too few where two members may be lost", async () => {
  const { replicator } = play({
    members: [...FOUR, "e:1"],
    confirming: ["c:1"],
    tolerated: 2,
  });
  const done = replicator.replicate(RECORD);
  await jest.advanceTimersByTimeAsync(1000);
  expect((await done).isSafe).toBe(false);
});

test("a member that is cut off says so within the second it has", async () => {
  const { replicator } = play({
    members: FOUR,
    silent: ["b:1", "c:1", "d:1"],
  });
  let outcome: unknown;
  void replicator.replicate(RECORD).then((done) => outcome = done);
  await jest.advanceTimersByTimeAsync(700);
  expect(outcome).toMatchObject({ isSafe: false });
});

test("a kept connection that fell silent costs one more call", async () => {
  let calls = 0;
  const replicator = new LeaveReplicator({
    members: () => [OWN, "b:1"],
    ownAddress: OWN,
    toleratedLosses: () => 1,
    keep: () => Promise.resolve(),
    send: (_member, _record, timeout) => {
      calls += 1;
      return calls > 1 ? Promise.resolve() : new Promise((_, reject) => {
        setTimeout(() => reject(new Error("silent")), timeout);
      });
    },
  });
  const done = replicator.replicate(RECORD);
  await jest.advanceTimersByTimeAsync(400);
  expect((await done).isSafe).toBe(true);
});

// A VM that took another one's place answered upstreams before the group had
// taken it in. Nobody asks such a replica, so what it alone knew was lost.
test("a replica that isn't a member yet doesn't count itself", async () => {
  const { replicator } = play({
    members: ["b:1", "c:1", "d:1"],
    confirming: ["b:1"],
  });
  const done = replicator.replicate(RECORD);
  await jest.advanceTimersByTimeAsync(1000);
  expect((await done).isSafe).toBe(false);
});

test("a replica without a group promises nothing, at once", async () => {
  const { replicator, told } = play({ members: undefined });
  expect((await replicator.replicate(RECORD)).isSafe).toBe(false);
  expect(told).toEqual([]);
});

test("a replica whose disk takes nothing doesn't count itself", async () => {
  const one = play({ members: FOUR, confirming: ["b:1"], isDiskFull: true });
  const done = one.replicator.replicate(RECORD);
  await jest.advanceTimersByTimeAsync(1000);
  expect((await done).isSafe).toBe(false);
  const two = play({
    members: FOUR,
    confirming: ["b:1", "c:1"],
    isDiskFull: true,
  });
  expect((await two.replicator.replicate(RECORD)).isSafe).toBe(true);
});

test("a disk that hangs is waited for no longer than another member", async () => {
  const replicator = new LeaveReplicator({
    members: () => [OWN, "b:1"],
    ownAddress: OWN,
    toleratedLosses: () => 1,
    keep: () => new Promise(() => {}),
    send: () => Promise.resolve(),
  });
  const done = replicator.replicate(RECORD);
  await jest.advanceTimersByTimeAsync(700);
  expect((await done).isSafe).toBe(false);
});

test("a group of one needs nobody else", async () => {
  const { replicator } = play({ members: [OWN] });
  expect((await replicator.replicate(RECORD)).isSafe).toBe(true);
});

test("who knows it already isn't told again; a later state is news", async () => {
  const { replicator, told } = play({
    members: FOUR,
    confirming: ["b:1", "c:1", "d:1"],
  });
  await replicator.replicate({ ...RECORD, state: "draining" });
  const again = await replicator.replicate({ ...RECORD, state: "draining" });
  expect(again).toMatchObject({ isSafe: true, isNews: false });
  expect(told).toHaveLength(3);
  await replicator.replicate(RECORD);
  expect(told).toHaveLength(6);
  replicator.forget(() => true);
  await replicator.replicate(RECORD);
  expect(told).toHaveLength(9);
});
