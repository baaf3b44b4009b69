import { createSeededRandom } from "@heroncleat/base";
import { drawRunTime } from "./draw_run_time.ts";
import { faultModes } from "./fault_modes.ts";

test("a quarter of the runs beside planned stops have an exponential tail", () => {
  const { workload } = faultModes["planned-stops"]({
    tail: 1000,
    slowFactor: 1,
  });
  const random = createSeededRandom(1);
  const runs = Array.from(
    { length: 10_000 },
    () => drawRunTime(random, workload),
  );
  const long = runs.filter(({ isLong }) => isLong);
  const mean = long.reduce((sum, { duration }) => sum + duration, 0) /
    long.length;
  expect(long.length / runs.length).toBeCloseTo(0.25, 1);
  expect(Math.min(...long.map(({ duration }) => duration)))
    .toBeGreaterThanOrEqual(400);
  expect(mean).toBeGreaterThan(1300);
  expect(mean).toBeLessThan(1500);
});
