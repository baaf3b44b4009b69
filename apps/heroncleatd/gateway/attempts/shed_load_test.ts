import type { Offer } from "@heroncleat/shedding";
import { createTestContext } from "../create_test_context.ts";
import { createTestRequest } from "../create_test_request.ts";
import { shedLoad } from "./shed_load.ts";

const TIME_LEFT_MS = 1500;
const TOKENS = 1_000_000_000;

const closers: (() => void)[] = [];
afterEach(() => {
  for (const close of closers.splice(0)) {
    close();
  }
});

// Guards against one request that makes up nearly all demand of its service.
test("a prompt of false length counts as demand for the time it has at most", () => {
  const context = createTestContext(
    [{ address: "127.0.0.1:80" }],
    (close) => closers.push(close),
  );
  const now = context.clock.steady();
  const prompt = {
    promptTokens: TOKENS,
    outputTokens: 1,
    expectedTokens: undefined,
    parts: [],
  };
  const call = createTestRequest({
    prompt,
    arrivedAt: now,
    deadline: now + TIME_LEFT_MS,
  });
  const chosen = context.choice.choose(context.directory.list(), {
    request: {
      service: call.service,
      zone: "a",
      parts: [],
      promptTokens: TOKENS,
      excluded: new Set<string>(),
    },
    now,
    requiresHeartbeats: false,
  })!;
  const offers: Offer[] = [];
  const decide = (offer: Offer) => {
    offers.push(offer);
    return { kind: "admitted" as const };
  };
  shedLoad(call, {
    context: Object.assign(context, { shedder: { decide } }),
    chosen,
    isRetry: false,
    excluded: new Set(),
  });
  expect(offers).toHaveLength(1);
  expect(offers[0]!.prefillTime).toBeLessThanOrEqual(TIME_LEFT_MS);
});
