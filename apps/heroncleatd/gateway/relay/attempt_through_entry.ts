import type { IncomingMessage } from "node:http";
import { framingOf } from "../../common/framing_of.ts";
import { watchLimits } from "../attempts/watch_limits.ts";
import type { AttemptOptions } from "../attempts/attempt_options.ts";
import type { AttemptResult } from "../attempts/attempt_result.ts";
import type { CallerRequest } from "../caller_request.ts";
import { EndedBy } from "../responses/ended_by.ts";
import type { ForwardContext } from "../forward_context.ts";
import { assessLinks } from "./assess_links.ts";
import { LinkSuspicion } from "./link_suspicion.ts";
import { relayHeaders } from "./relay_headers.ts";
import { RelayRefusal } from "./relay_refusal.ts";

/**
 * Sends an attempt through another entry if this one reaches no upstream of the
 * service. Undefined if an upstream should be tried from here.
 */
export async function attemptThroughEntry(
  call: CallerRequest,
  options: AttemptOptions & {
    /** Whether the attempt may be sent; called when it is. */
    readonly isAllowed: () => boolean;
  },
): Promise<AttemptResult | undefined> {
  const { relay, reachability, leaving, clock } = options.context;
  if (call.relayedBy !== undefined) {
    return reachability.refusesRelays(call.service)
      ? { kind: "no_upstream" }
      : undefined;
  }
  if (relay === undefined || !await seeksEntry(call, options)) {
    return undefined;
  }
  if (options.lastEvent === undefined && !leaving.hasTimeFor(call)) {
    return { kind: "leaving" };
  }
  if (!options.isAllowed()) {
    return { kind: "no_retry" };
  }
  const sentAt = clock.steady();
  const result = await relay.send(call, options);
  if (result.kind === "refused") {
    const isCutOff = reachability.isCutOff(call.service);
    return resultOfRefusal(
      result,
      !isCutOff || reachability.hasUntried(call.service),
    );
  }
  const { response, trace, end, entry } = result;
  const upstream = `entry:${entry}`;
  watchLimits(response, {
    ...options,
    call,
    trace,
    upstream,
    onExceeded: result.recordInvalid,
  });
  if (response.kind !== "head") {
    end();
    const { kind, reason } = response;
    if (kind === "unknown" && !options.signal.aborted) {
      trace.recordEndedBy(
        response.isBroken ? EndedBy.upstream : EndedBy.invalidResponse,
      );
    }
    return { kind, reason, trace, upstream };
  }
  recordRelayedStatements(response.message, options.context);
  call.progress.recordHead(response.message, clock.steady());
  const framing = framingOf(response.message, call.method);
  trace.recordFraming(framing);
  response.message.once("error", (error: NodeJS.ErrnoException) => {
    trace.recordError(error.code ?? error.message);
    if (!options.signal.aborted) {
      trace.recordEndedBy(EndedBy.upstream);
    }
  });
  return {
    kind: "head",
    upstream,
    message: response.message,
    framing,
    trace,
    version: () => relayedVersion(response.message),
    wasReplaced: () => false,
    isRelayed: true,
    hasCrashed: result.hasCrashed,
    recordFirstByte: () => trace.recordFirstByte(clock.steady() - sentAt),
    finish: () => end(),
  };
}

/** Whether to ask another entry, as the links of this one may be at fault. */
async function seeksEntry(
  { service, arrivedAt }: CallerRequest,
  { context, unopened, refusedConnections, version }: AttemptOptions,
): Promise<boolean> {
  const { reachability } = context;
  const suspicion = assessLinks({
    isInDoubt: reachability.isCutOff(service) ||
      reachability.isInDoubt(service),
    unopened,
    refusedConnections,
    isBound: version !== undefined,
  });
  return suspicion === LinkSuspicion.unclear
    ? !await reachability.reaches(service, arrivedAt)
    : suspicion === LinkSuspicion.strong;
}

/**
 * Records that the upstream leaves which an entry sent the request to. Whether
 * it wants no requests of that entry is for that entry to know.
 */
function recordRelayedStatements(
  { headers }: IncomingMessage,
  { names, statementWatcher }: ForwardContext,
): void {
  const upstream = headers[relayHeaders.upstream];
  if (typeof upstream === "string" && headers[names.leaving] === "1") {
    statementWatcher.recordRelayedLeaving(decodeURIComponent(upstream));
  }
}

/** Entries of older releases don't state the version. */
function relayedVersion({ headers }: IncomingMessage): string | undefined {
  const stated = headers[relayHeaders.version];
  return typeof stated === "string" ? decodeURIComponent(stated) : undefined;
}

/** @param mayTryHere Whether an upstream may be tried from here. */
function resultOfRefusal(
  { refusal, retryAfter }: {
    refusal: RelayRefusal;
    retryAfter: number | undefined;
  },
  mayTryHere: boolean,
): AttemptResult | undefined {
  if (refusal === RelayRefusal.rejected || refusal === RelayRefusal.held) {
    return { kind: refusal };
  }
  if (refusal === RelayRefusal.overloaded && retryAfter !== undefined) {
    return { kind: "overloaded", retryAfter };
  }
  return mayTryHere ? undefined : { kind: "no_upstream", retryAfter };
}
