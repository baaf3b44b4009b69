import type { Milliseconds } from "@heroncleat/base";
import type { UpstreamFilter } from "@heroncleat/rollouts";
import type {
  ChosenUpstream,
  RequestClass,
  SendPermit,
  UpstreamBalancer,
} from "@heroncleat/serving";
import { admitVersion } from "./admit_version.ts";
import type { AttemptOptions } from "../attempts/attempt_options.ts";
import type { CallerRequest } from "../caller_request.ts";
import { findAvailability } from "./find_availability.ts";
import { findUpstream, type UpstreamDecision } from "./find_upstream.ts";
import type { ForwardContext } from "../forward_context.ts";
import { findRestDelay } from "../limits/find_rest_delay.ts";
import { POLL_INTERVAL } from "../exchange/poll_interval.ts";
import { priorityOf } from "../priority_of.ts";
import { retryAfterLimits } from "../limits/retry_after_limits.ts";

/** Where to send a request, or why it isn't sent now. */
type WaitResult =
  | {
    readonly kind: "chosen";
    readonly chosen: ChosenUpstream;
    readonly permit: SendPermit | undefined;
  }
  | { readonly kind: "no_upstream" }
  | { readonly kind: "limited"; readonly retryAfter: Milliseconds }
  | { readonly kind: "resting"; readonly retryAfter: Milliseconds };

/**
 * Waits until a request may be sent to an upstream, asking for a permit where
 * one with a rate limit costs least.
 */
export async function waitForUpstream(
  call: CallerRequest,
  options: AttemptOptions & { prefersIdle: boolean },
): Promise<WaitResult> {
  const { context, signal } = options;
  const { version } = options;
  const filters = version === undefined
    ? context.rollouts.admit(call.service, {
      isRetry: options.excluded.size > 0,
    })
    : admitVersion(version, context);
  const requestClass: RequestClass = {
    service: call.service,
    priority: priorityOf(call),
    workspace: call.workspace?.name ?? "",
  };
  let hasAsked = false;
  let isDemandRecorded = false;
  while (!signal.aborted) {
    const now = context.clock.steady();
    const decision = chooseUpstream(call, {
      ...options,
      filters,
      requestClass,
      now,
      hasAsked,
    });
    if (decision.kind === "chosen") {
      recordDiversion(call, options);
      return decision;
    }
    if (decision.kind === "no_upstream") {
      const delay = findRestDelay(call, {
        ...options,
        version,
        restsUntil: options.waitUntil,
      });
      if (delay !== undefined) {
        context.metrics.increment("rests.refused");
        return { kind: "resting", retryAfter: delay };
      }
    }
    if (!isDemandRecorded && needsPermit(decision)) {
      isDemandRecorded = true;
      context.permitClient.recordDemand(requestClass);
    }
    if (decision.kind === "ask") {
      const { upstreams, hasAlternative } = decision;
      await context.permitClient.request({ ...requestClass, upstreams }, {
        hasAlternative,
      });
      hasAsked = true;
      continue;
    }
    if (decision.kind === "limited" && !options.mayHaveRun) {
      return createLimitedResult(decision.upstreams, {
        context,
        requestClass,
        now,
      });
    }
    if (now >= options.waitUntil || !mayBecomeAvailable(call, options)) {
      break;
    }
    await new Promise((resolve) => setTimeout(resolve, POLL_INTERVAL));
  }
  return { kind: "no_upstream" };
}

/** Counts a request that might have gone to an upstream that rests. */
function recordDiversion(
  { service }: CallerRequest,
  { context, excluded }: AttemptOptions,
): void {
  const { directory, metrics, statements, clock } = context;
  for (const upstream of statements.listResting(clock.steady())) {
    const record = directory.get(upstream)?.record;
    if (record?.service === service && !excluded.has(upstream)) {
      metrics.increment("rests.diverted");
      return;
    }
  }
}

/**
 * Whether to wait for an upstream. A stream that only one version may continue
 * can't be served once that version has no upstream.
 */
function mayBecomeAvailable(
  call: CallerRequest,
  { context, excluded, version }: AttemptOptions,
): boolean {
  return version === undefined ||
    findAvailability(call, { context, excluded, version }).availableAt <
      Infinity;
}

/** Assigns the caller of a request that isn't sent the time to return. */
function createLimitedResult(
  upstreams: readonly string[],
  { context, requestClass, now }: {
    context: ForwardContext;
    requestClass: RequestClass;
    now: Milliseconds;
  },
): WaitResult {
  const { permits, returnTimesOf } = context;
  const delay = returnTimesOf(requestClass.service).assign({
    availableIn: permits.availableIn(upstreams, { requestClass, now }),
    rate: permits.evenShareOf(upstreams),
  }, now);
  return {
    kind: "limited",
    retryAfter: Math.max(retryAfterLimits.min, delay),
  };
}

/** Whether a request can't be served unless a permit is issued. */
function needsPermit(decision: UpstreamDecision): boolean {
  return decision.kind === "limited" ||
    (decision.kind === "ask" && !decision.hasAlternative);
}

function chooseUpstream(
  call: CallerRequest,
  options: AttemptOptions & {
    prefersIdle: boolean;
    filters: readonly (UpstreamFilter | undefined)[];
    requestClass: RequestClass;
    now: Milliseconds;
    hasAsked: boolean;
  },
): UpstreamDecision {
  const { context, requestClass, now, filters, hasAsked } = options;
  let last: UpstreamDecision = { kind: "no_upstream" };
  for (const isAdmitted of filters) {
    const choiceOptions = {
      now,
      requiresHeartbeats: context.isSynced(),
      request: {
        service: call.service,
        zone: context.zone,
        parts: call.prompt?.parts ?? [],
        promptTokens: call.prompt?.promptTokens ?? 0,
        excluded: options.excluded,
        prefersIdle: options.prefersIdle,
        isLastTry: context.statements.hasUnproven &&
          !context.retries.areAvailable(
            call.service,
            options.isRetry ? 2 : 1,
          ),
        isAdmitted,
        isResumed: options.version !== undefined,
        engine: context.engineOf(call.service),
        isConnected: (upstream: string) =>
          context.agentOf(upstream).hasFreeSocket,
      },
    };
    const ranked = rankUpstreams(context, choiceOptions);
    const decision = findUpstream(ranked, {
      permits: context.permits,
      requestClass,
      now,
      hasAsked,
    });
    if (decision.kind === "chosen" || decision.kind === "ask") {
      return decision;
    }
    last = decision.kind === "limited" ? decision : last;
  }
  return last;
}

/** The eligible upstreams, or the best of them if none has a rate limit. */
function rankUpstreams(
  { choice, directory, permits }: ForwardContext,
  options: Parameters<UpstreamBalancer["rank"]>[1],
): readonly ChosenUpstream[] {
  if (permits.areNeeded) {
    return choice.rank(directory.list(), options);
  }
  const chosen = choice.choose(directory.list(), options);
  return chosen === undefined ? [] : [chosen];
}
