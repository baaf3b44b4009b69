import type { Milliseconds } from "@heroncleat/base";
import {
  type ChosenUpstream,
  limitPrefill,
  RouteKind,
} from "@heroncleat/serving";
import { ResponseFraming } from "../../common/response_framing.ts";
import type { SuspectWatcher } from "../../common/suspect_watcher.ts";
import { AttemptOutcome } from "../attempts/attempt_outcome.ts";
import type { AttemptTrace } from "../attempts/attempt_trace.ts";
import type { CallerRequest } from "../caller_request.ts";
import type { ForwardContext } from "../forward_context.ts";
import { estimateErrorBucket } from "./estimate_error_bucket.ts";
import type { UpstreamRun } from "./upstream_run.ts";

/** Lowest status by which an upstream reports a failure of its own. */
const FIRST_FAILURE_STATUS = 500;

/**
 * Registers one attempt as in flight with the upstream choice and the suspect
 * watcher.
 */
export function startTracking(
  call: CallerRequest,
  options: {
    context: ForwardContext;
    chosen: ChosenUpstream;
    trace: AttemptTrace;
    run: UpstreamRun;
    /** Whether no other version may run the request. */
    isBound: boolean;
  },
): {
  recordHead: (head: { status: number; framing: ResponseFraming }) => void;
  recordFirstByte: () => void;
  finish: (outcome: AttemptOutcome) => void;
} {
  const { trace } = options;
  const { choice, directory, clock, log, metrics, crashes } = options.context;
  const { reachability } = options.context;
  const chosen = limitPrefill(options.chosen, {
    timeLeft: call.deadline - clock.steady(),
  });
  const notice = choice.begin(chosen, {
    parts: call.prompt?.parts ?? [],
    now: clock.steady(),
  });
  // Other entries count an announced prefill to its expected end.
  if (chosen.isLengthPlausible) {
    options.context.announceDispatch(notice);
  }
  const sentAt = clock.steady();
  const { record } = chosen.upstream;
  const endSuspectedRun = crashes.trackCopy(call.identity);
  const endRun = options.context.agentOf(record.id).track(options.run);
  const isStream = call.route.kind === RouteKind.streaming;
  // A stream that goes on says nothing about how a version fares on its own.
  const version = options.isBound
    ? undefined
    : options.context.rollouts.track(chosen, {
      route: call.route.name,
      isStream,
    });
  let status = 0;
  let isFinished = false;
  let framing: ResponseFraming | undefined;
  let begunAt: Milliseconds | undefined;
  return {
    recordHead: (head) => {
      ({ status, framing } = head);
    },
    recordFirstByte: () => {
      if (begunAt === undefined) {
        begunAt = clock.steady();
        const took = begunAt - sentAt;
        trace.recordFirstByte(took);
        choice.endPrefill(chosen, begunAt);
        choice.recordFirstToken(chosen, took);
        // The first byte of other responses may come after the whole run.
        if (isStream && isSuccess(status)) {
          recordEstimate(chosen, { took, now: begunAt }, options.context);
        }
        version?.recordFirstByte(took);
      }
    },
    finish: (outcome) => {
      if (isFinished) {
        return;
      }
      isFinished = true;
      endRun();
      choice.endPrefill(chosen, clock.steady());
      const isServed = outcome === AttemptOutcome.complete &&
        isSuccess(status);
      choice.end(
        chosen,
        isServed
          ? {
            took: clock.steady() - sentAt,
            firstTokenAfter: isStream && begunAt !== undefined
              ? begunAt - sentAt
              : undefined,
          }
          : undefined,
      );
      version?.finish(
        outcome === AttemptOutcome.complete
          ? status >= FIRST_FAILURE_STATUS
          : undefined,
      );
      endSuspectedRun();
      const connection = {
        upstream: record.id,
        address: record.address,
        sentAt,
        begunAt,
      };
      if (outcome === AttemptOutcome.complete) {
        recordCompletion(call, { crashes, status, framing, connection });
      }
      if (outcome === AttemptOutcome.broken && !call.signal.aborted) {
        options.context.breaks.recordBreak(record.id);
        // An upstream that is no longer ready closes connections by intent, so
        // only a ready one counts as a possible crash.
        if (
          directory.get(record.id)?.record.state === "ready" &&
          !reachability.isCutOff(call.service)
        ) {
          crashes.recordBrokenConnection(call.identity, connection);
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

/** Records by how much the estimate of the first token was off. */
function recordEstimate(
  { upstream, expectedFirstTokenTime, isLengthPlausible }: ChosenUpstream,
  { took, now }: { took: Milliseconds; now: Milliseconds },
  { shedder, metrics }: ForwardContext,
): void {
  if (!isLengthPlausible) {
    return;
  }
  const { service } = upstream.record;
  const expected = expectedFirstTokenTime;
  shedder.recordFirstToken({ service, expected, took }, now);
  const bucket = estimateErrorBucket(took - expected);
  metrics.increment(`shedding.estimate_error.${service}.${bucket}`);
}

/** A response that isn't a success says nothing about parts of the prompt. */
function recordCompletion(
  { identity }: CallerRequest,
  { crashes, status, framing, connection }: {
    crashes: SuspectWatcher;
    status: number;
    framing: ResponseFraming | undefined;
    connection: Parameters<SuspectWatcher["recordUnframedSuccess"]>[1];
  },
): void {
  if (!isSuccess(status)) {
    crashes.recordCompletion(identity);
  } else if (framing === ResponseFraming.connectionEnd) {
    crashes.recordUnframedSuccess(identity, connection);
  } else {
    crashes.recordSuccess(identity);
  }
}

function isSuccess(status: number): boolean {
  return status >= 200 && status < 300;
}
