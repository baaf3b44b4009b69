import { type ChosenUpstream, RouteKind } from "@heroncleat/serving";
import { AttemptOutcome } from "./attempt_outcome.ts";
import type { AttemptTrace } from "./attempt_trace.ts";
import type { CallerRequest } from "./caller_request.ts";
import type { ForwardContext } from "./forward_context.ts";

/** Lowest status by which an upstream reports a failure of its own. */
const FIRST_FAILURE_STATUS = 500;

/**
 * Registers one attempt as in flight with the upstream choice, the suspect
 * watcher and the departure deadline.
 */
export function startTracking(
  call: CallerRequest,
  options: {
    context: ForwardContext;
    chosen: ChosenUpstream;
    trace: AttemptTrace;
    /** Whether no other version may run the request. */
    isBound: boolean;
  },
): {
  recordStatus: (status: number) => void;
  recordFirstByte: () => void;
  finish: (outcome: AttemptOutcome) => void;
} {
  const { chosen, trace } = options;
  const { choice, directory, clock, log, metrics, crashes, leaving } =
    options.context;
  const { reachability } = options.context;
  const notice = choice.begin(chosen, {
    parts: call.prompt?.parts ?? [],
    now: clock.steady(),
  });
  options.context.announceDispatch(notice);
  const sentAt = clock.steady();
  const { record } = chosen.upstream;
  const endSuspectedRun = crashes.trackCopy(call.identity);
  const endTimedRun = leaving.recordRun(call);
  // A stream that goes on says nothing about how a version fares on its own.
  const version = options.isBound
    ? undefined
    : options.context.rollouts.track(chosen, {
      route: call.route.name,
      isStream: call.route.kind === RouteKind.streaming,
    });
  let status = 0;
  let isFinished = false;
  let hasFirstByte = false;
  return {
    recordStatus: (received) => {
      status = received;
    },
    recordFirstByte: () => {
      if (!hasFirstByte) {
        hasFirstByte = true;
        const took = clock.steady() - sentAt;
        trace.recordFirstByte(took);
        choice.recordFirstToken(chosen, took);
        version?.recordFirstByte(took);
      }
    },
    finish: (outcome) => {
      if (isFinished) {
        return;
      }
      isFinished = true;
      choice.end(chosen);
      version?.finish(
        outcome === AttemptOutcome.complete
          ? status >= FIRST_FAILURE_STATUS
          : undefined,
      );
      endSuspectedRun();
      endTimedRun(outcome === AttemptOutcome.complete);
      if (outcome === AttemptOutcome.complete) {
        crashes.recordCompletion(call.identity);
      }
      if (outcome === AttemptOutcome.broken && !call.signal.aborted) {
        // An upstream that is no longer ready closes connections by intent, so
        // only a ready one counts as a possible crash.
        if (
          directory.get(record.id)?.record.state === "ready" &&
          !reachability.isCutOff(call.service)
        ) {
          crashes.recordBrokenConnection(call.identity, {
            upstream: record.id,
            address: record.address,
            sentAt,
          });
        }
        metrics.increment("gateway.broken_attempts");
        log.info("A connection to an upstream broke during a request", {
          request: call.attempt,
          digest: call.identity.digest(),
          parts: (call.prompt?.parts ?? []).map(({ id }) => id).join(" "),
          upstream: record.id,
          ranFor: Math.round(clock.steady() - sentAt),
        });
      }
    },
  };
}
