import { createTestContext } from "../create_test_context.ts";
import { createTestRequest } from "../create_test_request.ts";
import { testHeaderNames as names } from "../test_header_names.ts";
import { attemptThroughEntry } from "./attempt_through_entry.ts";
import { startTestRelay } from "./start_test_relay.ts";

const closers: (() => void)[] = [];
const onClose = (close: () => void) => void closers.push(close);
afterEach(() => {
  for (const close of closers.splice(0)) {
    close();
  }
});

// Guards against runs that seem to take no time, as they are timed from the
// head of a response that comes at their end.
test("a run by way of another entry is timed from when it is sent", async () => {
  const events: string[] = [];
  const relay = await startTestRelay((_message, response) => {
    events.push("received");
    response.setHeader(names.attempt, "a1");
    response.setHeader(names.digest, "d");
    response.end();
  }, onClose);
  const context = createTestContext([], onClose);
  const call = createTestRequest({ attempt: "a1", rawHeaders: ["Host", "h"] });
  const result = await attemptThroughEntry(call, {
    context: {
      ...context,
      relay,
      reachability: Object.assign(Object.create(context.reachability), {
        isCutOff: () => true,
      }),
      leaving: Object.assign(Object.create(context.leaving), {
        hasTimeFor: () => true,
        recordRun: () => {
          events.push("recorded");
          return (isWhole: boolean) => events.push(`whole: ${isWhole}`);
        },
      }),
    },
    excluded: new Set(),
    lastEvent: undefined,
    version: undefined,
    mayBeRefused: false,
    mayHaveRun: false,
    isRetry: false,
    isUsageCounted: false,
    unopened: 2,
    refusedConnections: 0,
    waitUntil: Infinity,
    signal: call.signal,
    mayGoOn: () => false,
    recordRefusal: () => {},
    isAllowed: () => true,
  });
  expect(result?.kind).toBe("head");
  expect(events).toEqual(["recorded", "received"]);
});
