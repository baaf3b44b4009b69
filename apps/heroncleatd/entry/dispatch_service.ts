import { createFault, type Fault } from "@heroncleat/base";
import { refusesConnections } from "../common/refuses_connections.ts";
import { requiredHold } from "../common/required_hold.ts";
import { reportEndless } from "../common/report_endless.ts";
import type { EntryParts } from "./entry_parts.ts";
import { findSuspectFault } from "./find_suspect_fault.ts";
import type { RouteResult } from "./route_result.ts";
import { sendOnce } from "./send_once.ts";
import type { ServiceCall } from "./service_call.ts";
import type { ServiceOutcome } from "./service_outcome.ts";

const MAX_ATTEMPTS = 5;
const HTTP_SERVER_ERROR = 500;

/** State accumulated over the attempts at one call. */
type AttemptHistory = {
  readonly exclude: string[];
  /** Whether a service may have run any of the attempts. */
  mayHaveRun: boolean;
  lastFault: Fault;
};

/**
 * Sends a call to services until one responds. A non-idempotent call is retried
 * only if the previous attempt can't have run.
 */
export async function dispatchService(
  parts: EntryParts,
  call: ServiceCall,
): Promise<ServiceOutcome> {
  const attempts: AttemptHistory = {
    exclude: [],
    mayHaveRun: false,
    lastFault: createFault("no_upstream", "No upstream was tried."),
  };
  for (let attempt = 1; attempt <= MAX_ATTEMPTS; attempt += 1) {
    const outcome = await tryOnce(parts, call, { attempt, attempts });
    if (outcome !== undefined) {
      return outcome;
    }
  }
  return giveUp(attempts);
}

/** Makes one attempt. Returns `undefined` if the call may be retried. */
async function tryOnce(
  parts: EntryParts,
  call: ServiceCall,
  options: { attempt: number; attempts: AttemptHistory },
): Promise<ServiceOutcome | undefined> {
  const { attempts } = options;
  const { clock, crashes, entry, instanceIdOf, isDepartingUpstream } =
    parts.context;
  const { statements, statementWatcher } = parts.context;
  await crashes.waitForProbe(call.identity);
  const suspectFault = findSuspectFault(crashes, call.identity);
  if (suspectFault !== undefined) {
    attempts.lastFault = suspectFault;
    return giveUp(attempts);
  }
  const token = `${call.token}#${options.attempt}`;
  const routing = await route(parts, call, { token, attempts });
  if (routing.kind === "unroutable") {
    attempts.lastFault = routing.fault;
    return giveUp(attempts);
  }
  const { upstream, address } = routing.choice;
  const remaining = call.deadlineAt - clock.now();
  // The lease and the deadline are checked right before sending, since waiting
  // for routing takes time.
  if (!parts.context.lease.isValid || remaining <= 0) {
    parts.dispatch.send({ kind: "ended", upstream, token, outcome: "neutral" });
    attempts.lastFault = createNotSentFault(remaining);
    return giveUp(attempts);
  }
  const sentAt = clock.steady();
  const instance = instanceIdOf(upstream);
  const endTrackedRun = crashes.trackCopy(call.identity);
  const endTrial = statements.trackTrial(instance);
  const result = await sendOnce(call, {
    agent: parts.context.services,
    address,
    attempt: token,
    timeout: remaining,
    connectTimeout: entry.connect_timeout,
    heldBytes: parts.context.bodies.held,
    hasCrashed: async () => {
      const hold = requiredHold({
        isLeaving: isDepartingUpstream(upstream),
        reclaimedAt: parts.context.reclaimedAt(upstream),
      }, clock.steady());
      return hold !== undefined && await refusesConnections(address, { hold });
    },
    maySend: () => !statements.isResting(instance, clock.steady()),
    onHead: (message, isNotRun) => {
      endTrial();
      statementWatcher.recordResponse(instance, {
        status: message.statusCode!,
        headers: message.headersDistinct,
        isNotRun,
        sentAt,
        request: call.token,
      });
    },
  });
  endTrackedRun();
  endTrial();
  if (result.kind === "unknown" && result.exceeded !== undefined) {
    const { log, metrics } = parts.context;
    reportEndless(result.exceeded, {
      metrics,
      log: log("services"),
      request: call.token,
      upstream,
    });
  }
  if (result.kind === "answered") {
    crashes.recordCompletion(call.identity);
  } else if (
    result.kind === "unknown" && result.isBroken &&
    !isDepartingUpstream(upstream)
  ) {
    crashes.recordBrokenConnection(call.identity, {
      upstream: instance,
      address,
      sentAt,
    });
  }
  const hasSucceeded = result.kind === "answered" &&
    result.outcome.status < HTTP_SERVER_ERROR;
  const outcome = hasSucceeded ? "succeeded" : "failed";
  parts.dispatch.send({ kind: "ended", upstream, token, outcome });
  if (result.kind === "answered" && (hasSucceeded || !call.isIdempotent)) {
    return result;
  }
  attempts.exclude.push(upstream);
  attempts.mayHaveRun ||= result.kind !== "not_run";
  attempts.lastFault = createFailureFault(
    result.kind === "answered"
      ? `status ${result.outcome.status}`
      : result.message,
  );
  const canRetry = call.isIdempotent || result.kind === "not_run";
  return canRetry ? undefined : giveUp(attempts);
}

function route(
  parts: EntryParts,
  call: ServiceCall,
  options: { token: string; attempts: AttemptHistory },
): Promise<RouteResult> {
  const { token, attempts } = options;
  const exclude = [...attempts.exclude];
  return new Promise((resolve) => {
    parts.dispatch.send({
      kind: "route",
      request: { ...call.routed, exclude },
      token,
      isRetry: exclude.length > 0,
      reply: resolve,
    });
  });
}

function giveUp(attempts: AttemptHistory): ServiceOutcome {
  const { lastFault, mayHaveRun } = attempts;
  return mayHaveRun
    ? { kind: "unknown", fault: { ...lastFault, run: "unknown" } }
    : { kind: "not_run", fault: { ...lastFault, run: "not-run" } };
}

function createNotSentFault(remaining: number): Fault {
  return remaining <= 0
    ? createFault(
      "timeout",
      "The deadline passed before the call was sent. Remedy: send it again " +
        "with a later Heroncleat-Deadline.",
    )
    : createFault(
      "lease_lapsed",
      "This entry can't confirm its configuration. Remedy: use another entry.",
      { retryAfter: 1000 },
    );
}

function createFailureFault(message: string): Fault {
  return createFault(
    "upstream_failed",
    `The service call failed (${message}). Remedy: retry after the time ` +
      "in Retry-After; for a call that may not be repeated, use the same " +
      "Idempotency-Key.",
    { retryAfter: 1000 },
  );
}
