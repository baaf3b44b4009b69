import { RolloutStage } from "@heroncleat/rollouts";
import { RouteKind } from "@heroncleat/serving";
import { AttemptTrace } from "../attempts/attempt_trace.ts";
import { AttemptOutcome } from "../attempts/attempt_outcome.ts";
import { ResponseFraming } from "../../common/response_framing.ts";
import { createTestContext } from "../create_test_context.ts";
import { createTestRequest } from "../create_test_request.ts";
import { startTracking } from "./start_tracking.ts";

const TIME_LEFT_MS = 1500;

const closers: (() => void)[] = [];
afterEach(() => {
  for (const close of closers.splice(0)) {
    close();
  }
});

/** Runs one stream; returns the samples that it gave to estimates. */
function runStream(promptTokens: number) {
  const errors: number[] = [];
  const context = Object.assign(
    createTestContext(
      [{ address: "127.0.0.1:80" }],
      (close) => closers.push(close),
    ),
    {
      shedder: {
        decide: () => ({ kind: "admitted" as const }),
        recordFirstToken: (
          { expected, took }: { expected: number; took: number },
        ) => errors.push(took - expected),
      },
    },
  );
  context.rollouts.merge([{
    service: "desk",
    destination: "v2",
    rejected: [],
    duration: 60_000,
    startedAt: 1,
    stage: RolloutStage.widened,
    share: 0.5,
    stageAt: 1,
    revision: 1,
    reason: "",
  }]);
  const now = context.clock.steady();
  const { route } = createTestRequest({});
  const call = createTestRequest({
    route: { ...route, kind: RouteKind.streaming },
    arrivedAt: now,
    deadline: now + TIME_LEFT_MS,
  });
  const chosen = context.choice.choose(context.directory.list(), {
    request: {
      service: call.service,
      zone: "a",
      parts: [],
      promptTokens,
      excluded: new Set<string>(),
    },
    now,
    requiresHeartbeats: false,
  })!;
  const tracking = startTracking(call, {
    context,
    chosen,
    trace: new AttemptTrace("u0", () => []),
    run: {
      recordEndedBy: () => {},
      bytesReceived: () => 0,
      isPaused: () => false,
      isReplaceable: () => false,
      giveUp: () => {},
    },
    isBound: false,
  });
  tracking.recordHead({ status: 200, framing: ResponseFraming.length });
  tracking.recordFirstByte();
  tracking.finish(AttemptOutcome.complete);
  const [report] = context.rollouts.report()!;
  return { errors, versionSamples: report!.routes["r"]!.others };
}

test("the first token of a stream says how far its estimate was off", () => {
  const { errors, versionSamples } = runStream(1000);
  expect(errors).toHaveLength(1);
  expect(Object.values(versionSamples.firstByte)).toEqual([1]);
});

// Guards against estimates that one caller sets for all others.
test("a prompt of false length says nothing about estimates of first tokens", () => {
  const { errors, versionSamples } = runStream(1_000_000_000);
  expect(errors).toEqual([]);
  expect(versionSamples.firstByte).toEqual({});
  expect(versionSamples).toMatchObject({ sent: 1, answered: 1, failed: 0 });
});
