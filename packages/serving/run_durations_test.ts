import { requiredTime } from "./required_time.ts";
import { RouteKind } from "./route_kind.ts";
import { RunDurations } from "./run_durations.ts";

const ROUTE = "drafts";
const NOW = 10_000;

function record(
  durations: RunDurations,
  runs: readonly { took: number; size?: number; isComplete?: boolean }[],
): void {
  for (const { took, size = 0, isComplete = true } of runs) {
    const end = durations.begin(ROUTE, { startedAt: NOW - took, size });
    end({ endedAt: NOW, isComplete });
  }
}

function find(durations: RunDurations, size = 0) {
  return durations.findLongest(ROUTE, { size, now: NOW });
}

test("nothing is estimated from few complete runs, however many were cut", () => {
  const durations = new RunDurations();
  record(durations, Array(7).fill({ took: 50 }));
  record(durations, Array(20).fill({ took: 50, isComplete: false }));
  expect(find(durations)).toBeUndefined();
});

test("a run that was cut or is in progress may be the longest", () => {
  const durations = new RunDurations();
  record(durations, Array(8).fill({ took: 50 }));
  record(durations, [{ took: 400, isComplete: false }]);
  expect(find(durations)).toEqual({ duration: 400, runCount: 8 });
  durations.begin(ROUTE, { startedAt: NOW - 900, size: 0 });
  expect(find(durations)).toEqual({ duration: 900, runCount: 8 });
});

test("a request of unstated size may take as long as one of any size", () => {
  const durations = new RunDurations();
  const sizes = [10, 20, 30, 40, 50, 60, 70, 80];
  record(durations, sizes.map((size) => ({ size, took: 100 + 20 * size })));
  expect(find(durations)?.duration).toBe(1700);
  expect(find(durations, 80)?.duration).toBe(8 * 300);
});

test("requests without a size don't make short ones of stated size seem long", () => {
  const durations = new RunDurations();
  record(durations, Array(8).fill({ took: 3000 }));
  expect(find(durations, 2)).toBeUndefined();
  record(durations, Array(8).fill({ took: 40, size: 2 }));
  expect(find(durations, 2)?.duration).toBe(40);
  expect(find(durations)?.duration).toBe(3000);
});

test("a request that is larger than all before takes longer in proportion", () => {
  const durations = new RunDurations();
  record(durations, Array(32).fill({ took: 500, size: 16 }));
  expect(find(durations, 512)?.duration).toBe(16_000);
});

test("attempts that were cut or rejected don't displace long runs", () => {
  const durations = new RunDurations();
  record(durations, [{ took: 5000 }, ...Array(29).fill({ took: 300 })]);
  record(durations, Array(100).fill({ took: 2, isComplete: false }));
  expect(find(durations)).toEqual({ duration: 5000, runCount: 30 });
});

test("fewer runs require more time, until the deadline", () => {
  const required = (runCount: number, timeLeft = 10_000) =>
    requiredTime({ kind: RouteKind.idempotent, isResumable: false }, {
      longest: { duration: 100, runCount },
      timeLeft,
    });
  expect(required(8)).toBeGreaterThan(2 * 100);
  expect(required(8)).toBeGreaterThan(required(64));
  expect(required(100_000)).toBe(100);
  expect(required(8, 150)).toBe(150);
});

test("where a request can't be repeated, its deadline counts", () => {
  const longest = { duration: 100, runCount: 64 };
  for (const kind of [RouteKind.nonIdempotent, RouteKind.streaming]) {
    const route = { kind, isResumable: false };
    expect(requiredTime(route, { longest, timeLeft: 9000 })).toBe(9000);
  }
});
