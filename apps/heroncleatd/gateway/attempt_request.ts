import type { IncomingMessage } from "node:http";
import type { Milliseconds } from "@heroncleat/base";
import {
  type ChosenUpstream,
  CrashStanding,
  findOverload,
} from "@heroncleat/serving";
import type { CallerRequest } from "./caller_request.ts";
import type { ForwardContext } from "./forward_context.ts";
import { AttemptOutcome } from "./attempt_outcome.ts";
import { AttemptTrace } from "./attempt_trace.ts";
import { forwardHeaders } from "./forward_headers.ts";
import { sendToUpstream } from "./send_to_upstream.ts";

/** Why there is no answer of an upstream. */
type NoResponse<Kind extends string> = {
  readonly kind: Kind;
  readonly upstream: string;
  readonly reason: string;
  readonly trace: AttemptTrace;
};

/** What an attempt came to, up to the head of its answer. */
type AttemptResult =
  | { readonly kind: "no_upstream" }
  /** Upstreams end under it, so it isn't sent on. */
  | { readonly kind: "rejected" }
  /** Another copy of it runs, which may end its upstream. */
  | { readonly kind: "held" }
  /** This entry ends before the answer would. */
  | { readonly kind: "leaving" }
  | { readonly kind: "overloaded"; readonly retryAfter: Milliseconds }
  | NoResponse<"not_run">
  | NoResponse<"unknown">
  | {
    readonly kind: "head";
    readonly upstream: string;
    readonly message: IncomingMessage;
    readonly trace: AttemptTrace;
    /** Notes that the first byte of the body arrived. */
    readonly recordFirstByte: () => void;
    /** Must be called once when the body ended or was given up. */
    readonly finish: (ending: AttemptOutcome) => void;
  };

/** How often a request looks for an upstream while there is none. */
const POLL_INTERVAL: Milliseconds = 20;

/** What an attempt is made with. */
type AttemptOptions = {
  readonly context: ForwardContext;
  /** Upstreams that must not be tried again. */
  readonly excluded: ReadonlySet<string>;
  readonly lastEvent: string | undefined;
  /** Whether it is refused if no upstream can serve it on time. */
  readonly mayBeRefused: boolean;
  /** Whether an upstream may have run it before. */
  readonly mayHaveRun: boolean;
  /** Monotonic time until which to wait for an upstream to be there. */
  readonly waitUntil: Milliseconds;
  readonly signal: AbortSignal;
};

/**
 * Chooses an upstream and sends a request there once, keeping account of what
 * is under way.
 */
export async function attemptRequest(
  call: CallerRequest,
  options: AttemptOptions,
): Promise<AttemptResult> {
  const { context, signal } = options;
  const { choice, clock, crashes } = context;
  await crashes.decided(call.identity);
  const suspectStatus = await waitForOtherCopy(call, options);
  if (suspectStatus === CrashStanding.rejected) {
    return { kind: "rejected" };
  }
  if (
    suspectStatus === CrashStanding.single && crashes.isUnderWay(call.identity)
  ) {
    return { kind: "held" };
  }
  const prefersIdle = suspectStatus !== CrashStanding.unsuspected;
  const chosen = await waitForUpstream(call, { ...options, prefersIdle });
  if (chosen === undefined) {
    return { kind: "no_upstream" };
  }
  const overload = options.mayBeRefused
    ? findOverload({
      waiting: chosen.waiting,
      reading: chosen.readTime,
      objective: call.arrivedAt + call.objective - clock.steady(),
      isSpeedKnown: chosen.isSpeedKnown,
    })
    : undefined;
  if (overload !== undefined) {
    return { kind: "overloaded", retryAfter: overload };
  }
  // Its body, its charge or an upstream may have been waited for since it was
  // admitted.
  if (!options.mayHaveRun && !context.leaving.hasTimeFor(call)) {
    return { kind: "leaving" };
  }
  const { record } = chosen.upstream;
  const trace = new AttemptTrace({
    chosen,
    sentAfter: clock.steady() - call.arrivedAt,
    lastSeenAge: clock.steady() - chosen.upstream.receivedAt,
    syncAge: context.syncAge(),
  });
  const tracking = startTracking(call, { context, chosen, trace });
  const headers = forwardHeaders.toUpstream(call, {
    names: context.names,
    attempt: {
      upstream: record.name,
      timeLeft: Math.max(1, call.deadline - clock.steady()),
      lastEvent: options.lastEvent,
      fetchFrom: chosen.source?.record.address,
    },
  });
  const response = await sendToUpstream(call, {
    address: record.address,
    agent: context.agentOf(record.id),
    headers,
    names: context.names,
    signal,
  });
  if (response.kind === "head") {
    return { ...response, ...tracking, trace, upstream: record.id };
  }
  tracking.finish(
    response.kind === "unknown" && response.isBroken
      ? AttemptOutcome.broken
      : AttemptOutcome.notAnswered,
  );
  if (!signal.aborted && isConnectionFailure(response.reason)) {
    choice.pause(record.id, clock.steady());
  }
  if (response.reason === MISDIRECTED_REQUEST) {
    context.directory.remove(record.id, clock.steady());
  }
  if (
    response.reason === MISDIRECTED_REQUEST ||
    response.reason === CONNECTION_REFUSED
  ) {
    crashes.noteEnd(record.id);
  }
  return { ...response, trace, upstream: record.id };
}

/** Keeps account of one attempt in the choice of upstreams. */
function startTracking(
  call: CallerRequest,
  options: {
    context: ForwardContext;
    chosen: ChosenUpstream;
    trace: AttemptTrace;
  },
): { recordFirstByte: () => void; finish: (ending: AttemptOutcome) => void } {
  const { chosen, trace } = options;
  const { choice, directory, clock, log, metrics, crashes, leaving } =
    options.context;
  const notice = choice.begin(chosen, {
    parts: call.prompt?.parts ?? [],
    now: clock.steady(),
  });
  options.context.announceDispatch(notice);
  const sentAt = clock.steady();
  const { record } = chosen.upstream;
  const endSuspectedRun = crashes.begin(call.identity);
  const endTimedRun = leaving.recordRun(call);
  let isFinished = false;
  let hasFirstByte = false;
  return {
    recordFirstByte: () => {
      if (!hasFirstByte) {
        hasFirstByte = true;
        const took = clock.steady() - sentAt;
        trace.recordFirstByte(took);
        choice.noteFirstToken(chosen, took);
      }
    },
    finish: (ending) => {
      if (isFinished) {
        return;
      }
      isFinished = true;
      choice.end(chosen);
      endSuspectedRun();
      endTimedRun(ending === AttemptOutcome.complete);
      if (ending === AttemptOutcome.complete) {
        crashes.noteAnswer(call.identity);
      }
      if (ending === AttemptOutcome.broken && !call.signal.aborted) {
        // One that has said meanwhile that it leaves ends as it said.
        if (directory.get(record.id)?.record.state === "ready") {
          crashes.noteBreak(call.identity, {
            upstream: record.id,
            address: record.address,
            sentAt,
          });
        }
        metrics.increment("gateway.broken_attempts");
        log.info("A connection to an upstream ended under a request", {
          request: call.attempt,
          digest: call.identity.digest(),
          upstream: record.id,
          ranFor: Math.round(clock.steady() - sentAt),
        });
      }
    },
  };
}

/** Another upstream has the address now, so the chosen one has ended. */
const MISDIRECTED_REQUEST = "status 421";
/** Nothing takes connections at the address any more. */
const CONNECTION_REFUSED = "ECONNREFUSED";

/** A refusal says nothing against the upstream; a broken connection does. */
function isConnectionFailure(reason: string): boolean {
  return !reason.startsWith("status ");
}

/**
 * Waits while another copy of a request runs that two upstreams ended under,
 * and says how the request stands then.
 */
async function waitForOtherCopy(
  call: CallerRequest,
  { context, signal, waitUntil }: AttemptOptions,
): Promise<CrashStanding> {
  const { crashes, clock } = context;
  let suspectStatus = crashes.standing(call.identity);
  while (
    suspectStatus === CrashStanding.single &&
    crashes.isUnderWay(call.identity) &&
    !signal.aborted && clock.steady() < waitUntil
  ) {
    await new Promise((resolve) => setTimeout(resolve, POLL_INTERVAL));
    suspectStatus = crashes.standing(call.identity);
  }
  return suspectStatus;
}

async function waitForUpstream(
  call: CallerRequest,
  options: AttemptOptions & { prefersIdle: boolean },
): Promise<ChosenUpstream | undefined> {
  const { context, signal } = options;
  while (!signal.aborted) {
    const now = context.clock.steady();
    const chosen = context.choice.choose(context.directory.list(), {
      now,
      trusts: context.isSynced(),
      request: {
        service: call.service,
        zone: context.zone,
        parts: call.prompt?.parts ?? [],
        promptTokens: call.prompt?.promptTokens ?? 0,
        excluded: options.excluded,
        prefersIdle: options.prefersIdle,
        engine: context.engineOf(call.service),
        isConnected: (upstream) => context.agentOf(upstream).hasFreeSocket,
      },
    });
    if (chosen !== undefined || now >= options.waitUntil) {
      return chosen;
    }
    await new Promise((resolve) => setTimeout(resolve, POLL_INTERVAL));
  }
  return undefined;
}
