import { setTimeout as pause } from "node:timers/promises";
import { waitFor } from "@heroncleat/local_deployment";
import { LiveDeployment } from "./live_deployment.ts";

const live = new LiveDeployment({
  firstPort: 23_800,
  controls: 1,
  entries: 2,
  engines: 1,
  services: 1,
});

beforeAll(() => live.start());
afterAll(() => live.stop());

// Guards against calls that are cut when a terminal interrupts a deployment.
test("an interrupted upstream answers the calls that it has accepted", async () => {
  await live.waitUntilServing();
  await live.callStandIn("booking-1", { behaviour: "slow" });
  const reply = live.bookTable(0, "interrupted").catch(() => ({ status: 0 }));
  await waitFor("The run", {
    timeout: 10_000,
    check: async () =>
      (await live.callStandIn("booking-1")).runs.length === 1 || undefined,
  });
  for (const signal of ["SIGINT", "SIGTERM"] as const) {
    live.processes.signal("booking-1", signal);
    await pause(50);
  }
  expect((await reply).status).toBe(200);
  expect(await live.processes.waitForExit("booking-1")).toBe(0);
});
