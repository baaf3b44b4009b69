import { UpstreamStatements } from "./upstream_statements.ts";

const UPSTREAM = "desk-1@1000";
let statements: UpstreamStatements;

beforeEach(() => {
  statements = new UpstreamStatements(() => 0.5);
});

test("the later end of two rests counts", () => {
  statements.recordRejection(UPSTREAM, { rest: 3000, now: 0 });
  expect(statements.recordRejection(UPSTREAM, { rest: 1000, now: 100 }))
    .toBe(false);
  expect(statements.isResting(UPSTREAM, 2999)).toBe(true);
  expect(statements.isResting(UPSTREAM, 3000)).toBe(false);
});

test("a rest binds neither another upstream nor another start", () => {
  statements.recordRejection(UPSTREAM, { rest: 3000, now: 0 });
  expect(statements.isResting("desk-1@2000", 1)).toBe(false);
  expect([...statements.listResting(1)]).toEqual([UPSTREAM]);
});

// Guards against requests to an upstream that asked for rest before this process
// learned of its restart.
test("a rest binds the next start while the connection that stated it is open", () => {
  let isConnected = true;
  const starts = { from: UPSTREAM, to: "desk-1@2000" };
  statements.recordRejection(UPSTREAM, {
    rest: 3000,
    isConnected: () => isConnected,
    now: 0,
  });
  expect(statements.carryOverRest(starts, 1000)).toBe(true);
  expect(statements.isResting(starts.to, 2999)).toBe(true);
  expect(statements.isResting(starts.to, 3000)).toBe(false);
  expect(statements.isAvoided(starts.to, 3100)).toBe(true);
  isConnected = false;
  const later = { from: UPSTREAM, to: "desk-1@3000" };
  expect(statements.carryOverRest(later, 1000)).toBe(false);
  expect(statements.isResting(later.to, 1000)).toBe(false);
});

test("a rest that is over isn't carried over", () => {
  statements.recordRejection(UPSTREAM, {
    rest: 3000,
    isConnected: () => true,
    now: 0,
  });
  const starts = { from: UPSTREAM, to: "desk-1@2000" };
  expect(statements.carryOverRest(starts, 3000)).toBe(false);
  expect(statements.isAvoided(starts.to, 3000)).toBe(false);
});

test("an answer to a request that was sent before a rejection ends nothing", () => {
  statements.recordRejection(UPSTREAM, { rest: 0, now: 100 });
  statements.recordAcceptance(UPSTREAM, 50);
  expect(statements.isUnproven(UPSTREAM)).toBe(true);
  statements.recordAcceptance(UPSTREAM, 150);
  expect(statements.isUnproven(UPSTREAM)).toBe(false);
  expect(statements.hasUnproven).toBe(false);
});

test("an upstream that rejects without a rest is avoided twice as long each time, up to a bound", () => {
  const avoided: number[] = [];
  let now = 0;
  for (let rejection = 1; rejection <= 6; rejection += 1) {
    statements.recordRejection(UPSTREAM, { rest: 0, now });
    let until = now;
    while (statements.isAvoided(UPSTREAM, until)) {
      until += 250;
    }
    avoided.push(until - now);
    now = until;
  }
  expect(avoided).toEqual([1000, 2000, 4000, 8000, 8000, 8000]);
  expect(statements.isResting(UPSTREAM, now)).toBe(false);
});

test("one request tries an upstream whose rest has ended, others are preferred meanwhile", () => {
  statements.recordRejection(UPSTREAM, { rest: 1000, now: 0 });
  const now = 1300;
  expect(statements.isAvoided(UPSTREAM, now)).toBe(false);
  const endTrial = statements.trackTrial(UPSTREAM);
  expect(statements.isAvoided(UPSTREAM, now)).toBe(true);
  endTrial();
  endTrial();
  statements.recordAcceptance(UPSTREAM, now);
  expect(statements.isAvoided(UPSTREAM, now)).toBe(false);
});

test("a rest and a departure outlive that nothing is heard of the upstream", () => {
  statements.recordRejection(UPSTREAM, { rest: 200_000, now: 0 });
  statements.recordLeaving("desk-2", 0);
  statements.expire(150_000);
  expect(statements.isResting(UPSTREAM, 150_000)).toBe(true);
  expect(statements.isLeaving("desk-2")).toBe(true);
  statements.expire(700_000);
  expect(statements.isLeaving("desk-2")).toBe(false);
  expect([...statements.listResting(700_000)]).toEqual([]);
});

test("while an upstream rejects, others are untested until they accept a request", () => {
  statements.recordAcceptance("desk-2", 50);
  statements.recordRejection(UPSTREAM, { rest: 0, now: 100 });
  expect(statements.isUntested("desk-2")).toBe(true);
  statements.recordAcceptance("desk-2", 150);
  expect(statements.isUntested("desk-2")).toBe(false);
  expect(statements.isUntested("desk-3")).toBe(true);
  statements.recordRejection(UPSTREAM, { rest: 0, now: 200 });
  expect(statements.isUntested("desk-2")).toBe(false);
});
