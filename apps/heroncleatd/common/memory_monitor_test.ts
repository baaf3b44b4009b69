import { MemoryMonitor } from "./memory_monitor.ts";

const MIB = 1024 * 1024;

/** Checks each value of the resident memory in MB; returns those logged. */
function logged(values: readonly number[]): number[] {
  const lines: number[] = [];
  let resident = 0;
  const monitor = new MemoryMonitor({
    limit: 100 * MIB,
    resident: () => resident * MIB,
    describe: () => ({ inFlight: 3 }),
    log: {
      debug: () => {},
      info: () => {},
      error: () => {},
      warn: (_message, context = {}) => {
        expect(context["inFlight"]).toBe(3);
        lines.push(Number(context["residentMb"]));
      },
    },
  });
  for (const value of values) {
    resident = value;
    monitor.check();
  }
  return lines;
}

test("memory near the limit is logged once, and again as it grows or returns", () => {
  expect(logged([50, 69, 71, 72, 75, 77, 77, 60, 71])).toEqual([71, 77, 71]);
});
