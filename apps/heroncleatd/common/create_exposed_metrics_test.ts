import { createExposedMetrics } from "./create_exposed_metrics.ts";

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
  const metrics = createExposedMetrics();
  await pause(300);
  const before = process.resourceUsage().voluntaryContextSwitches;
  await pause(1500);
  const after = process.resourceUsage().voluntaryContextSwitches;
  metrics.close();
  expect((after - before) / 1.5).toBeLessThan(60);
});

function pause(milliseconds: number): Promise<void> {
  return new Promise((resolve) => setTimeout(resolve, milliseconds));
}
