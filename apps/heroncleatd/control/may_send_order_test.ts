import { maySendOrder } from "./may_send_order.ts";

const conditions = {
  now: 10_000,
  leaseUntil: 10_400,
  leaderSince: 0,
  electionTimeout: 500,
  clockDrift: 0.02,
  orderTimeout: 200,
  checksFencing: false,
};

describe("an order to an upstream that does not check fencing numbers", () => {
  test("is sent only if it times out within the lease", () => {
    expect(maySendOrder(conditions)).toBe(true);
    expect(maySendOrder({ ...conditions, now: 10_199 })).toBe(true);
    expect(maySendOrder({ ...conditions, now: 10_200 })).toBe(false);
  });

  test("waits until the last order of an earlier leader has timed out", () => {
    const newLeader = { ...conditions, leaderSince: 9_500 };
    expect(maySendOrder(newLeader)).toBe(false);
    const later = { ...newLeader, now: 10_214, leaseUntil: 10_600 };
    expect(maySendOrder(later)).toBe(true);
    expect(maySendOrder({ ...later, now: 10_213 })).toBe(false);
  });
});

describe("an order to an upstream that checks fencing numbers", () => {
  test("requires only a valid lease", () => {
    const fenced = { ...conditions, checksFencing: true, leaderSince: 9_999 };
    expect(maySendOrder(fenced)).toBe(true);
    expect(maySendOrder({ ...fenced, now: 10_400 })).toBe(false);
  });
});
