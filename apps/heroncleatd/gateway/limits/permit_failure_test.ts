import { createSystemClock } from "@heroncleat/base";
import {
  type PermitReply,
  RateLimitRegistry,
  RevisionCounter,
  SendPermits,
} from "@heroncleat/serving";
import { PermitClient } from "./permit_client.ts";

// Guards against requests that wait without end behind a reply that can't be applied.
test.each([
  { isIssuing: true },
  { isIssuing: true, limits: [], outcomes: [null] },
  { isIssuing: true, limits: [], outcomes: [{}, {}, {}] },
])("the reply %j holds up no request", async (reply) => {
  const limits = new RateLimitRegistry(new RevisionCounter());
  let calls = 0;
  const client = new PermitClient({
    entry: "entry",
    permits: new SendPermits({ limits, entry: "entry", trueTime: (at) => at }),
    limits,
    clock: createSystemClock(),
    metrics: { increment() {}, gauge() {}, timing() {}, close() {} },
    call: () => {
      calls += 1;
      return Promise.resolve(reply as unknown as PermitReply);
    },
  });
  const wanted = {
    service: "desk",
    priority: 1,
    workspace: undefined,
    upstreams: ["u1"],
  };
  await client.request(wanted as never, { hasAlternative: false });
  await client.request(wanted as never, { hasAlternative: false });
  expect(calls).toBe(2);
}, 2000);
