import { requiredTime } from "./required_time.ts";
import { RouteKind } from "./route_kind.ts";
import { RunDurations } from "./run_durations.ts";

const ROUTE = "drafts";
const NOW = 10_000;
const call = { kind: RouteKind.nonIdempotent, isResumable: false };

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
  expect(find(durations, 20)?.duration).toBeCloseTo(500);
  expect(find(durations, 160)?.duration).toBeCloseTo(3300);
});

test("requests without a size don't make short ones of stated size seem long", () => {
  const durations = new RunDurations();
  record(durations, Array(8).fill({ took: 3000 }));
  record(durations, Array(8).fill({ took: 40, size: 2 }));
  expect(find(durations, 2)?.duration).toBe(40);
  expect(find(durations)?.duration).toBe(3000);
});

test("fewer runs require more time, and more where a request can't be repeated", () => {
  const required = (runCount: number, changes: Partial<typeof call> = {}) =>
    requiredTime({ ...call, ...changes }, {
      longest: { duration: 100, runCount },
      timeLeft: 10_000,
    });
  expect(required(8)).toBeGreaterThan(2 * 100);
  expect(required(8)).toBeGreaterThan(required(64));
  expect(required(64)).toBeGreaterThan(required(64, { isResumable: true }));
  expect(required(100_000)).toBe(100);
});
