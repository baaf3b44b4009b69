import { createExposedMetrics } from "./create_exposed_metrics.ts";

test("what heroncleat counts comes before what describes the process", async () => {
  const metrics = createExposedMetrics();
  metrics.increment("quota.charged_tokens", 7);
  const text = await metrics.render();
  metrics.close();
  const own = text.indexOf("heroncleat_quota_charged_tokens_total 7");
  expect(own).toBeGreaterThan(0);
  expect(text.indexOf("heroncleat_process_cpu")).toBeGreaterThan(own);
});
