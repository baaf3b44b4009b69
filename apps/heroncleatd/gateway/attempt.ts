import type { IncomingMessage } from "node:http";
import type { Milliseconds } from "@heroncleat/base";
import {
  type ChosenUpstream,
  overloadRetryDelay,
  SuspectStatus,
} from "@heroncleat/serving";
import type { CallerRequest } from "./caller_request.ts";
import type { ForwardContext } from "./forward_context.ts";
import { AttemptEnding } from "./attempt_ending.ts";
import { AttemptTrace } from "./attempt_trace.ts";
import { forwardHeaders } from "./forward_headers.ts";
import { sendToUpstream } from "./send_to_upstream.ts";

/** Why there is no answer of an upstream. */
type NoAnswer<Kind extends string> = {
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
  | NoAnswer<"not_run">
  | NoAnswer<"unknown">
  | {
    readonly kind: "head";
    readonly upstream: string;
    readonly message: IncomingMessage;
    readonly trace: AttemptTrace;
    /** Notes that the first byte of the body arrived. */
    readonly noteFirstByte: () => void;
    /** Must be called once when the body ended or was given up. */
    readonly finish: (ending: AttemptEnding) => void;
  };

/** How often a request looks for an upstream while there is none. */
const LOOK_INTERVAL: Milliseconds = 20;

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
export async function attempt(
  call: CallerRequest,
  options: AttemptOptions,
): Promise<AttemptResult> {
  const { context, signal } = options;
  const { choice, clock, crashes } = context;
  await crashes.waitForProbe(call.identity);
  const standing = await waitForTurn(call, options);
  if (standing === SuspectStatus.rejected) {
    return { kind: "rejected" };
  }
  if (standing === SuspectStatus.single && crashes.isInFlight(call.identity)) {
    return { kind: "held" };
  }
  const prefersIdle = standing !== SuspectStatus.unsuspected;
  const chosen = await waitForUpstream(call, { ...options, prefersIdle });
  if (chosen === undefined) {
    return { kind: "no_upstream" };
  }
  const overload = options.mayBeRefused
    ? overloadRetryDelay({
      waiting: chosen.waiting,
      prefillTime: chosen.readTime,
      objective: call.arrivedAt + call.objective - clock.steady(),
      isPrefillSpeedKnown: chosen.isPrefillSpeedKnown,
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
    heardAge: clock.steady() - chosen.upstream.receivedAt,
    syncAge: context.syncAge(),
  });
  const account = openAccount(call, { context, chosen, trace });
  const headers = forwardHeaders.toUpstream(call, {
    names: context.names,
    attempt: {
      upstream: record.name,
      timeLeft: Math.max(1, call.until - clock.steady()),
      lastEvent: options.lastEvent,
      fetchFrom: chosen.source?.record.address,
    },
  });
  const answer = await sendToUpstream(call, {
    address: record.address,
    agent: context.agentOf(record.id),
    headers,
    names: context.names,
    signal,
  });
  if (answer.kind === "head") {
    return { ...answer, ...account, trace, upstream: record.id };
  }
  account.finish(
    answer.kind === "unknown" && answer.isBroken
      ? AttemptEnding.broken
      : AttemptEnding.notAnswered,
  );
  if (!signal.aborted && isOwnFailure(answer.reason)) {
    choice.pause(record.id, clock.steady());
  }
  if (answer.reason === MISDIRECTED) {
    context.directory.remove(record.id, clock.steady());
  }
  if (answer.reason === MISDIRECTED || answer.reason === REFUSED) {
    crashes.recordCrash(record.id);
  }
  return { ...answer, trace, upstream: record.id };
}

/** Keeps account of one attempt in the choice of upstreams. */
function openAccount(
  call: CallerRequest,
  options: {
    context: ForwardContext;
    chosen: ChosenUpstream;
    trace: AttemptTrace;
  },
): { noteFirstByte: () => void; finish: (ending: AttemptEnding) => void } {
  const { chosen, trace } = options;
  const { choice, directory, clock, log, metrics, crashes, leaving } =
    options.context;
  const notice = choice.begin(chosen, {
    parts: call.prompt?.parts ?? [],
    now: clock.steady(),
  });
  options.context.noteDispatch(notice);
  const sentAt = clock.steady();
  const { record } = chosen.upstream;
  const endTurn = crashes.trackCopy(call.identity);
  const endRun = leaving.noteRun(call);
  let ended = false;
  let hasAnswered = false;
  return {
    noteFirstByte: () => {
      if (!hasAnswered) {
        hasAnswered = true;
        const took = clock.steady() - sentAt;
        trace.noteFirstByte(took);
        choice.recordFirstToken(chosen, took);
      }
    },
    finish: (ending) => {
      if (ended) {
        return;
      }
      ended = true;
      choice.end(chosen);
      endTurn();
      endRun(ending === AttemptEnding.whole);
      if (ending === AttemptEnding.whole) {
        crashes.recordCompletion(call.identity);
      }
      if (ending === AttemptEnding.broken && !call.signal.aborted) {
        // One that has said meanwhile that it leaves ends as it said.
        if (directory.get(record.id)?.record.state === "ready") {
          crashes.recordBrokenConnection(call.identity, {
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
const MISDIRECTED = "status 421";
/** Nothing takes connections at the address any more. */
const REFUSED = "ECONNREFUSED";

/** A refusal says nothing against the upstream; a broken connection does. */
function isOwnFailure(reason: string): boolean {
  return !reason.startsWith("status ");
}

/**
 * Waits while another copy of a request runs that two upstreams ended under,
 * and says how the request stands then.
 */
async function waitForTurn(
  call: CallerRequest,
  { context, signal, waitUntil }: AttemptOptions,
): Promise<SuspectStatus> {
  const { crashes, clock } = context;
  let standing = crashes.status(call.identity);
  while (
    standing === SuspectStatus.single && crashes.isInFlight(call.identity) &&
    !signal.aborted && clock.steady() < waitUntil
  ) {
    await new Promise((resolve) => setTimeout(resolve, LOOK_INTERVAL));
    standing = crashes.status(call.identity);
  }
  return standing;
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
      requiresHeartbeats: context.isSynced(),
      request: {
        service: call.service,
        zone: context.zone,
        parts: call.prompt?.parts ?? [],
        promptTokens: call.prompt?.promptTokens ?? 0,
        excluded: options.excluded,
        prefersIdle: options.prefersIdle,
        engine: context.engineOf(call.service),
        isConnected: (upstream) => context.agentOf(upstream).hasIdle,
      },
    });
    if (chosen !== undefined || now >= options.waitUntil) {
      return chosen;
    }
    await new Promise((resolve) => setTimeout(resolve, LOOK_INTERVAL));
  }
  return undefined;
}
