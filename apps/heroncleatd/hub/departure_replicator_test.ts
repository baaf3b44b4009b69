import type { UpstreamRecord } from "@heroncleat/serving";
import { DepartureReplicator } from "./departure_replicator.ts";

const OWN_ADDRESS = "a:1";
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

/** Members either confirm at once, time out, or fail at once. */
function createReplicator(options: {
  members?: readonly string[] | undefined;
  confirming?: readonly string[];
  unresponsive?: readonly string[];
  tolerated?: number;
  isDiskFull?: boolean;
}) {
  const sentTo: string[] = [];
  const replicator = new DepartureReplicator({
    members: () => options.members,
    ownAddress: OWN_ADDRESS,
    toleratedLosses: () => options.tolerated ?? 1,
    persist: () =>
      options.isDiskFull
        ? Promise.reject(new Error("no space left"))
        : Promise.resolve(),
    send: (member, _record, timeout) => {
      sentTo.push(member);
      if (options.confirming?.includes(member)) {
        return Promise.resolve();
      }
      return new Promise((_, reject) => {
        const delay = options.unresponsive?.includes(member) ? timeout : 0;
        setTimeout(() => reject(new Error("no reply")), delay);
      });
    },
  });
  return { replicator, sentTo };
}

const FOUR_MEMBERS = [OWN_ADDRESS, "b:1", "c:1", "d:1"];

test("one confirmation suffices if one member may be lost", async () => {
  const { replicator } = createReplicator({
    members: FOUR_MEMBERS,
    confirming: ["c:1"],
  });
  const result = replicator.replicate(RECORD);
  await jest.advanceTimersByTimeAsync(0);
  const { storedBy, ...rest } = await result;
  expect(rest).toEqual({ isDurable: true, isNewlyDurable: true });
  expect([...storedBy].sort()).toEqual([OWN_ADDRESS, "c:1"]);
});

test("one confirmation is too few if two members may be lost", async () => {
  const { replicator } = createReplicator({
    members: [...FOUR_MEMBERS, "e:1"],
    confirming: ["c:1"],
    tolerated: 2,
  });
  const result = replicator.replicate(RECORD);
  await jest.advanceTimersByTimeAsync(1000);
  expect((await result).isDurable).toBe(false);
});

test("a partitioned member reports failure within a second", async () => {
  const { replicator } = createReplicator({
    members: FOUR_MEMBERS,
    unresponsive: ["b:1", "c:1", "d:1"],
  });
  let outcome: unknown;
  void replicator.replicate(RECORD).then((result) => outcome = result);
  await jest.advanceTimersByTimeAsync(700);
  expect(outcome).toMatchObject({ isDurable: false });
});

test("a dead kept connection is retried once", async () => {
  let calls = 0;
  const replicator = new DepartureReplicator({
    members: () => [OWN_ADDRESS, "b:1"],
    ownAddress: OWN_ADDRESS,
    toleratedLosses: () => 1,
    persist: () => Promise.resolve(),
    send: (_member, _record, timeout) => {
      calls += 1;
      return calls > 1 ? Promise.resolve() : new Promise((_, reject) => {
        setTimeout(() => reject(new Error("timed out")), timeout);
      });
    },
  });
  const result = replicator.replicate(RECORD);
  await jest.advanceTimersByTimeAsync(400);
  expect((await result).isDurable).toBe(true);
});

// Guards against counting the copy of a replica that has not joined the group:
// no other process reads from it.
test("a replica that isn't a member yet doesn't count itself", async () => {
  const { replicator } = createReplicator({
    members: ["b:1", "c:1", "d:1"],
    confirming: ["b:1"],
  });
  const result = replicator.replicate(RECORD);
  await jest.advanceTimersByTimeAsync(1000);
  expect((await result).isDurable).toBe(false);
});

test("a replica without a group refuses at once", async () => {
  const { replicator, sentTo } = createReplicator({ members: undefined });
  expect((await replicator.replicate(RECORD)).isDurable).toBe(false);
  expect(sentTo).toEqual([]);
});

test("a replica whose disk is full doesn't count itself", async () => {
  const one = createReplicator({
    members: FOUR_MEMBERS,
    confirming: ["b:1"],
    isDiskFull: true,
  });
  const result = one.replicator.replicate(RECORD);
  await jest.advanceTimersByTimeAsync(1000);
  expect((await result).isDurable).toBe(false);
  const two = createReplicator({
    members: FOUR_MEMBERS,
    confirming: ["b:1", "c:1"],
    isDiskFull: true,
  });
  expect((await two.replicator.replicate(RECORD)).isDurable).toBe(true);
});

test("a hanging disk is given no more time than another member", async () => {
  const replicator = new DepartureReplicator({
    members: () => [OWN_ADDRESS, "b:1"],
    ownAddress: OWN_ADDRESS,
    toleratedLosses: () => 1,
    persist: () => new Promise(() => {}),
    send: () => Promise.resolve(),
  });
  const result = replicator.replicate(RECORD);
  await jest.advanceTimersByTimeAsync(700);
  expect((await result).isDurable).toBe(false);
});

test("a group of one needs no confirmation", async () => {
  const { replicator } = createReplicator({ members: [OWN_ADDRESS] });
  expect((await replicator.replicate(RECORD)).isDurable).toBe(true);
});

test("a stored departure isn't sent again, but a later state is", async () => {
  const { replicator, sentTo } = createReplicator({
    members: FOUR_MEMBERS,
    confirming: ["b:1", "c:1", "d:1"],
  });
  await replicator.replicate({ ...RECORD, state: "draining" });
  const again = await replicator.replicate({ ...RECORD, state: "draining" });
  expect(again).toMatchObject({ isDurable: true, isNewlyDurable: false });
  expect(sentTo).toHaveLength(3);
  await replicator.replicate(RECORD);
  expect(sentTo).toHaveLength(6);
  replicator.expire(() => true);
  await replicator.replicate(RECORD);
  expect(sentTo).toHaveLength(9);
});
