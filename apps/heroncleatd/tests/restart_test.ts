import { streamChatCompletion, waitFor } from "@heroncleat/local_deployment";
import { LiveDeployment } from "./live_deployment.ts";

const live = new LiveDeployment({
  firstPort: 23_000,
  controls: 1,
  entries: 2,
  engines: 1,
  services: 0,
});

beforeAll(() => live.start());
afterAll(() => live.stop());

const RESTARTS = 6;

describe("a restarted entry", () => {
  test("reports healthy only once it serves requests", async () => {
    const statuses: number[] = [];
    for (let round = 0; round < RESTARTS; round += 1) {
      live.processes.signal("entry-2", "SIGKILL");
      await live.processes.waitForExit("entry-2");
      live.restart("entry-2");
      await waitFor("The return of entry-2", {
        timeout: 15_000,
        check: async () => {
          const response = await live.call(1, "/v1/health").catch(() =>
            undefined
          );
          return response?.status === 200 || undefined;
        },
      });
      const response = await streamChatCompletion({
        entries: [live.callerAddresses[1]!],
        key: live.key,
        body: {
          model: "assistant",
          max_tokens: 2,
          messages: [{ role: "user", content: `Letter ${round}` }],
        },
        timeout: 5000,
      });
      statuses.push(response.status);
    }
    expect(statuses).toEqual(statuses.map(() => 200));
  });
});
