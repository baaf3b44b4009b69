import { execFile } from "node:child_process";
import { promisify } from "node:util";
import { createExposedMetrics } from "./create_exposed_metrics.ts";

const MEASURED_MS = 1500;
/** Prints the voluntary context switches of an idle process that has metrics. */
const IDLE_PROGRAM = `
  import { createExposedMetrics } from
    "./apps/heroncleatd/dist/common/create_exposed_metrics.js";
  import { setTimeout as pause } from "node:timers/promises";
  createExposedMetrics();
  await pause(300);
  const before = process.resourceUsage().voluntaryContextSwitches;
  await pause(${MEASURED_MS});
  console.log(process.resourceUsage().voluntaryContextSwitches - before);
  process.exit();
`;

test("renders the application's metrics before the process metrics", async () => {
  const metrics = createExposedMetrics();
  metrics.increment("quota.charged_tokens", 7);
  const text = await metrics.render();
  metrics.close();
  const own = text.indexOf("heroncleat_quota_charged_tokens_total 7");
  expect(own).toBeGreaterThan(0);
  expect(text.indexOf("heroncleat_process_cpu")).toBeGreaterThan(own);
});

// Guards against event loop sampling that wakes an idle process often.
test("collecting metrics rarely wakes an idle process", async () => {
  const { stdout } = await promisify(execFile)(
    process.execPath,
    ["--input-type=module", "--eval", IDLE_PROGRAM],
  );
  const switchesPerSecond = Number(stdout) / (MEASURED_MS / 1000);
  expect(switchesPerSecond).toBeGreaterThan(0);
  expect(switchesPerSecond).toBeLessThan(60);
});
