import { waitFor } from "@heroncleat/local_deployment";
import { LiveDeployment } from "./live_deployment.ts";

const live = new LiveDeployment({
  firstPort: 23_600,
  controls: 1,
  entries: 2,
  engines: 1,
  services: 1,
});

beforeAll(() => live.start());
afterAll(() => live.stop());

// Guards against calls that a planned stop cuts while their service runs them.
test("an entry that is stopped answers the calls to services that it has accepted", async () => {
  await live.waitUntilServing();
  await live.callStandIn("booking-1", { behaviour: "slow" });
  const pending = Promise.all(
    [1, 2, 3].map((number) =>
      live.bookTable(0, `key-${number}`).catch(() => ({ status: 0 }))
    ),
  );
  await waitFor("The runs", {
    timeout: 10_000,
    check: async () =>
      (await live.callStandIn("booking-1")).runs.length === 3 || undefined,
  });
  live.processes.signal("entry-1", "SIGTERM");
  const replies = await pending;
  expect(replies.map(({ status }) => status)).toEqual([200, 200, 200]);
  expect(await live.processes.waitForExit("entry-1")).toBe(0);
});
