import {
  type KnownUpstream,
  RouteKind,
  SuspectStatus,
} from "@heroncleat/serving";
import type { CallerRequest } from "../caller_request.ts";
import type { ForwardContext } from "../forward_context.ts";
import { AttemptOutcome } from "./attempt_outcome.ts";
import type { AttemptOptions } from "./attempt_options.ts";
import type { AttemptResult } from "./attempt_result.ts";
import { attemptThroughEntry } from "../relay/attempt_through_entry.ts";
import { AttemptTrace } from "./attempt_trace.ts";
import { certainVersion } from "./certain_version.ts";
import { describeChoice } from "../upstreams/describe_choice.ts";
import { EndedBy } from "../responses/ended_by.ts";
import { forwardHeaders } from "../forward_headers.ts";
import { CONNECTION_REFUSED } from "../../common/connection_refused.ts";
import { lacksDescriptors } from "../../common/lacks_descriptors.ts";
import { framingOf } from "../../common/framing_of.ts";
import type { SentRequest } from "../../common/sent_request.ts";
import { hasCrashed } from "../upstreams/has_crashed.ts";
import { POLL_INTERVAL } from "../exchange/poll_interval.ts";
import { isStatus } from "./is_status.ts";
import { recordEnd } from "./record_end.ts";
import { recordFailure } from "./record_failure.ts";
import { recordStatements } from "./record_statements.ts";
import { reportShortage } from "./report_shortage.ts";
import { sendToUpstream } from "../upstreams/send_to_upstream.ts";
import { shedLoad } from "./shed_load.ts";
import { startTracking } from "../upstreams/start_tracking.ts";
import type { UpstreamResponse } from "../upstreams/upstream_response.ts";
import type { UpstreamRun } from "../upstreams/upstream_run.ts";
import { wasReplaced } from "./was_replaced.ts";
import { watchLimits } from "./watch_limits.ts";
import { waitForUpstream } from "../upstreams/wait_for_upstream.ts";

/**
 * Chooses an upstream, sends the request to it once and tracks the attempt
 * while it is in flight.
 */
export async function attemptRequest(
  call: CallerRequest,
  options: AttemptOptions,
): Promise<AttemptResult> {
  const isAllowed = createRetryPermission(call, options);
  let result = await attemptOnce(call, { ...options, isAllowed });
  while (result === undefined) {
    result = await attemptOnce(call, { ...options, isAllowed });
  }
  return result;
}

/** Undefined if nothing was sent, as the upstream takes no more requests. */
async function attemptOnce(
  call: CallerRequest,
  options: AttemptOptions & { readonly isAllowed: () => boolean },
): Promise<AttemptResult | undefined> {
  const { context, signal, isAllowed } = options;
  const { clock, crashes } = context;
  await crashes.waitForProbe(call.identity);
  const suspectStatus = await waitForOtherCopy(call, options);
  if (suspectStatus === SuspectStatus.rejected) {
    return { kind: "rejected", part: crashes.findRejectedPart(call.identity) };
  }
  if (
    suspectStatus === SuspectStatus.single && crashes.isInFlight(call.identity)
  ) {
    return { kind: "held" };
  }
  const relayed = await attemptThroughEntry(call, options);
  if (relayed !== undefined) {
    return relayed;
  }
  const prefersIdle = suspectStatus !== SuspectStatus.unsuspected;
  const decision = await waitForUpstream(call, { ...options, prefersIdle });
  if (decision.kind !== "chosen") {
    return decision;
  }
  const { chosen, permit } = decision;
  const returnPermit = (): void => {
    if (permit !== undefined) {
      context.permits.giveBack(permit);
    }
  };
  const refusal = options.mayBeRefused
    ? shedLoad(call, { ...options, chosen })
    : undefined;
  if (refusal !== undefined) {
    returnPermit();
    return refusal;
  }
  // Checked again here: reading the body, charging the quota and waiting for an
  // upstream take time after admission.
  if (!hasTime(call, options)) {
    returnPermit();
    return { kind: "leaving" };
  }
  if (!isAllowed()) {
    returnPermit();
    return { kind: "no_retry" };
  }
  const { record } = chosen.upstream;
  const times = {
    sentAfter: clock.steady() - call.arrivedAt,
    lastSeenAge: clock.steady() - chosen.upstream.receivedAt,
    syncAge: context.syncAge(),
  };
  const trace = new AttemptTrace(
    record.id,
    () => describeChoice(chosen, times),
  );
  if (record.state === "draining") {
    context.metrics.increment("drains.continued_streams");
  }
  let sent: SentRequest | undefined;
  const run: UpstreamRun = {
    recordEndedBy: (reason) => trace.recordEndedBy(reason),
    bytesReceived: () => sent?.bytesReceived() ?? 0,
    isPaused: () => sent?.isPaused() ?? false,
    isReplaceable: () => options.mayGoOn(),
    giveUp: () => sent?.abort(),
  };
  const tracking = startTracking(call, {
    context,
    chosen,
    trace,
    run,
    isBound: options.version !== undefined,
  });
  const headers = forwardHeaders.toUpstream(call, {
    names: context.names,
    attempt: {
      upstream: record.name,
      timeLeft: Math.max(1, call.deadline - clock.steady()),
      lastEvent: options.lastEvent,
      fetchFrom: chosen.source?.record.address,
    },
  });
  const sentAt = clock.steady();
  const agent = context.agentOf(record.id);
  const endWait = context.reachability.trackWaiting(record, {
    tryCancel: mayRunAgain(call)
      ? (alreadyCancelled) => {
        // The entry that passed it on retries it, with a budget of its own.
        const hasRetry = call.relayedBy !== undefined ||
          context.retries.areAvailable(call.service, alreadyCancelled + 1);
        if (hasRetry) {
          run.recordEndedBy(EndedBy.unreachable);
          run.giveUp();
        }
        return hasRetry;
      }
      : undefined,
    bytesReceived: run.bytesReceived,
    upstreamBytes: () => agent.bytesReceived,
  });
  const endTrial = context.statements.trackTrial(record.id);
  call.progress.recordChosen(record);
  const response = await sendToUpstream(call, {
    address: record.address,
    agent,
    headers,
    names: context.names,
    signal,
    onSent: (request) => sent = request,
    maySend: () => maySend(chosen.upstream, context),
    onWritten: () => call.progress.recordSent(record.id, clock.steady()),
  }).catch((error: Error): UpstreamResponse => {
    // Nothing was sent, and no upstream is at fault.
    tracking.finish(AttemptOutcome.notAnswered);
    endWait(false);
    endTrial();
    returnPermit();
    throw error;
  });
  endTrial();
  if (response.kind === "withdrawn") {
    endWait(false);
    tracking.finish(AttemptOutcome.notAnswered);
    returnPermit();
    const isResting = context.statements.isResting(record.id, clock.steady());
    context.metrics.increment(
      isResting ? "rests.withdrawn" : "drains.withdrawn",
    );
    return undefined;
  }
  endWait(response.kind === "head" || isStatus(response.reason));
  recordStatements(response, { context, call, upstream: record.id, sentAt });
  watchLimits(response, {
    context,
    call,
    trace,
    upstream: record.id,
    onExceeded: () => context.choice.pause(record.id, clock.steady()),
  });
  if (response.kind === "head") {
    call.progress.recordHead(response.message, clock.steady());
    context.returnTimesOf(call.service).recordServed(clock.steady());
    const framing = framingOf(response.message, call.method);
    tracking.recordHead({ status: response.message.statusCode!, framing });
    recordEnd(response.message, { framing, context, trace, signal });
    return {
      ...response,
      ...tracking,
      framing,
      trace,
      upstream: record.id,
      version: () => certainVersion(record, context),
      wasReplaced: () => wasReplaced(record, context),
      isRelayed: false,
      hasCrashed: async () => {
        const isCrashed = await hasCrashed(record.id, context);
        if (isCrashed) {
          context.metrics.increment("gateway.responses_cut_by_crash");
          trace.recordEndedBy(EndedBy.upstream);
        }
        return isCrashed;
      },
    };
  }
  const isBroken = response.kind === "unknown" && response.isBroken;
  if (response.kind === "unknown" && !signal.aborted) {
    trace.recordEndedBy(
      isBroken ? EndedBy.upstream : EndedBy.invalidResponse,
    );
  }
  tracking.finish(
    isBroken ? AttemptOutcome.broken : AttemptOutcome.notAnswered,
  );
  const rejection = response.kind === "not_run" ? response.message : undefined;
  const stated = rejection?.headers["retry-after"];
  if (stated !== undefined) {
    trace.recordRetryAfter(stated);
  }
  if (response.kind === "unknown" || rejection !== undefined) {
    recordFailure(response, { context, call, upstream: record.id });
    return {
      kind: response.kind,
      reason: response.reason,
      trace,
      upstream: record.id,
    };
  }
  // No connection was established, so nothing was sent.
  returnPermit();
  if (lacksDescriptors(response.reason)) {
    reportShortage(context, { call, upstream: record.id });
    return {
      kind: "not_run",
      reason: response.reason,
      trace,
      upstream: record.id,
      unopened: "no_descriptor",
    };
  }
  const isRefused = response.reason === CONNECTION_REFUSED;
  if (isRefused) {
    context.breaks.recordRefusal(record.id);
  }
  // One that drains may end at any moment, which says nothing about the links.
  if (!signal.aborted && record.state === "ready") {
    context.reachability.recordFailure(record, {
      startedAt: sentAt,
      isSilent: !isRefused,
    });
  }
  recordFailure(response, { context, call, upstream: record.id });
  return {
    kind: "not_run",
    reason: response.reason,
    trace,
    upstream: record.id,
    unopened: isRefused ? "refused" : "silent",
  };
}

/**
 * Whether the attempt may begin during a shutdown. A stream that has begun loses
 * nothing by going on, as it is cut otherwise.
 */
function hasTime(
  call: CallerRequest,
  { context, lastEvent }: AttemptOptions,
): boolean {
  return lastEvent !== undefined || context.leaving.hasTimeFor(call);
}

/** Whether an upstream still takes the request, now that it is connected. */
function maySend(
  upstream: KnownUpstream,
  { choice, clock, directory, statements }: ForwardContext,
): boolean {
  const now = clock.steady();
  const { id, state } = upstream.record;
  const isInTime = state === "ready" ||
    now < choice.drainEndsAt(directory.get(id) ?? upstream);
  return isInTime && !statements.isResting(id, now);
}

/** Consumes a retry at the first call, if the attempt is one. */
function createRetryPermission(
  { service }: CallerRequest,
  { context, isRetry }: AttemptOptions,
): () => boolean {
  let isPaid = !isRetry;
  return () => isPaid ||= context.retries.tryConsume(service);
}

/** Whether the request may be given up and sent to another upstream. */
function mayRunAgain({ route }: CallerRequest): boolean {
  return route.kind === RouteKind.idempotent || route.isResumable;
}

/**
 * Waits while another copy of a suspected request is in flight and returns the
 * status of the request afterwards.
 */
async function waitForOtherCopy(
  call: CallerRequest,
  { context, signal, waitUntil }: AttemptOptions,
): Promise<SuspectStatus> {
  const { crashes, clock } = context;
  let suspectStatus = crashes.status(call.identity);
  while (
    suspectStatus === SuspectStatus.single &&
    crashes.isInFlight(call.identity) &&
    !signal.aborted && clock.steady() < waitUntil
  ) {
    await new Promise((resolve) => setTimeout(resolve, POLL_INTERVAL));
    suspectStatus = crashes.status(call.identity);
  }
  return suspectStatus;
}
