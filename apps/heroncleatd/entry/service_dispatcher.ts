import { createFault, type Fault } from "@heroncleat/base";
import type { EntryParts } from "./entry_parts.ts";
import type { RouteAnswer } from "./route_answer.ts";
import { sendOnce } from "./send_once.ts";
import type { ServiceCall } from "./service_call.ts";
import type { ServiceOutcome } from "./service_outcome.ts";
import { withhold } from "./withhold.ts";

/** Attempts at one call, however quickly they fail. */
const MOST_ATTEMPTS = 5;
const HTTP_SERVER_ERROR = 500;

/** What is known of the attempts so far. */
type Attempts = {
  readonly exclude: string[];
  /** Whether a byte of some attempt may have been acted on. */
  mayHaveRun: boolean;
  lastFault: Fault;
};

/**
 * Sends a call to services until one answers. A call that may not be run
 * again is sent again only where the attempt before it can't have run.
 */
export async function dispatchService(
  parts: EntryParts,
  call: ServiceCall,
): Promise<ServiceOutcome> {
  const attempts: Attempts = {
    exclude: [],
    mayHaveRun: false,
    lastFault: createFault("no_upstream", "No upstream was tried."),
  };
  for (let attempt = 1; attempt <= MOST_ATTEMPTS; attempt += 1) {
    const outcome = await tryOne(parts, call, { attempt, attempts });
    if (outcome !== undefined) {
      return outcome;
    }
  }
  return giveUp(attempts);
}

/** One attempt; nothing when another may follow. */
async function tryOne(
  parts: EntryParts,
  call: ServiceCall,
  options: { attempt: number; attempts: Attempts },
): Promise<ServiceOutcome | undefined> {
  const { attempts } = options;
  const { clock, upstreams, crashes, startOf } = parts.context;
  await crashes.waitForProbe(call.identity);
  const withheld = withhold(crashes, call.identity);
  if (withheld !== undefined) {
    attempts.lastFault = withheld;
    return giveUp(attempts);
  }
  const token = `${call.token}#${options.attempt}`;
  const answer = await route(parts, call, { token, attempts });
  if (answer.kind === "unroutable") {
    attempts.lastFault = answer.fault;
    return giveUp(attempts);
  }
  const { upstream, address } = answer.choice;
  const left = call.until - clock.now();
  // The last step before bytes leave.
  if (!parts.context.lease.isValid || left <= 0) {
    parts.dispatch.send({ kind: "ended", upstream, token, outcome: "neutral" });
    attempts.lastFault = describeTooLate(left);
    return giveUp(attempts);
  }
  const sentAt = clock.steady();
  const start = startOf(upstream);
  const endTurn = crashes.trackCopy(call.identity);
  const sent = await sendOnce(call, {
    agent: upstreams,
    address,
    attempt: token,
    timeout: left,
  });
  endTurn();
  if (sent.kind === "answered") {
    crashes.recordCompletion(call.identity);
  } else if (
    sent.kind === "unknown" && sent.isBroken &&
    !parts.context.isLeavingUpstream(upstream)
  ) {
    crashes.recordBrokenConnection(call.identity, {
      upstream: start,
      address,
      sentAt,
    });
  }
  const good = sent.kind === "answered" &&
    sent.outcome.status < HTTP_SERVER_ERROR;
  const outcome = good ? "succeeded" : "failed";
  parts.dispatch.send({ kind: "ended", upstream, token, outcome });
  if (sent.kind === "answered" && (good || !call.isIdempotent)) {
    return sent;
  }
  attempts.exclude.push(upstream);
  attempts.mayHaveRun ||= sent.kind !== "not_run";
  attempts.lastFault = describeFailure(
    sent.kind === "answered" ? `status ${sent.outcome.status}` : sent.message,
  );
  const mayRepeat = call.isIdempotent || sent.kind === "not_run";
  return mayRepeat ? undefined : giveUp(attempts);
}

function route(
  parts: EntryParts,
  call: ServiceCall,
  options: { token: string; attempts: Attempts },
): Promise<RouteAnswer> {
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

function giveUp(attempts: Attempts): ServiceOutcome {
  const { lastFault, mayHaveRun } = attempts;
  return mayHaveRun
    ? { kind: "unknown", fault: { ...lastFault, run: "unknown" } }
    : { kind: "not_run", fault: { ...lastFault, run: "not-run" } };
}

function describeTooLate(left: number): Fault {
  return left <= 0
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

function describeFailure(message: string): Fault {
  return createFault(
    "upstream_failed",
    `The service did not answer (${message}). Remedy: come back after ` +
      "Retry-After; for a call that may not be repeated, ask with the same " +
      "Idempotency-Key.",
    { retryAfter: 1000 },
  );
}
