import type { Milliseconds } from "@heroncleat/base";
import type { CallerRequest } from "../caller_request.ts";
import type { LocalResponse } from "./local_response.ts";
import { RelayRefusal } from "../relay/relay_refusal.ts";
import { retryAfterLimits } from "../limits/retry_after_limits.ts";
import type { WithholdReason } from "../attempts/withhold_reason.ts";

/** Share of the latency objective that a request may wait for an upstream. */
const UPSTREAM_WAIT_SHARE = 0.2;
/** Retry-After if the tried upstreams were full. */
const RETRY_AFTER_FULL: Milliseconds = 150;
/** Retry-After if there was no upstream; starting one takes seconds. */
const RETRY_AFTER_NONE: Milliseconds = 700;

/** Retry-After if another copy of a suspected request is in flight. */
const RETRY_AFTER_HELD: Milliseconds = 700;

/** Retry-After if another entry may know where a stream began. */
const RETRY_AFTER_MAY_BE_KNOWN: Milliseconds = 150;
/** Retry-After if a stream can't go on unless something changes. */
const RETRY_AFTER_CANNOT_RESUME: Milliseconds = 1000;

/** The state of a request that no upstream responded to. */
type UnansweredRequest = {
  /**
   * Set if the request wasn't forwarded although upstreams may be available.
   */
  readonly withholdReason: WithholdReason | undefined;
  /** Key of the part of its prompt that upstreams crash on, if it is one. */
  readonly rejectedPart: string | undefined;
  readonly mayHaveRun: boolean;
  /** Why it was given up; undefined if it wasn't. */
  readonly givenUpFor: "time_up" | "shutting_down" | undefined;
  /** Number of upstreams that the request was sent to. */
  readonly offers: number;
  /** Whether an upstream may have got it. */
  readonly wasSent: boolean;
  /** Whether this entry may reach no upstream of the service. */
  readonly isInDoubt: boolean;
  /** Whether only one version may run it, as it resumes a stream. */
  readonly isResumed?: boolean;
  /** Time until an upstream has capacity, if known. */
  readonly retryAfter?: Milliseconds | undefined;
  /** When the caller may return, as all upstreams rest until then. */
  readonly restDelay?: Milliseconds | undefined;
};

/** Responses to requests that no upstream responded to. */
export const errorResponse = {
  /** Returns the monotonic time until which a request waits for an upstream. */
  upstreamWaitUntil(call: CallerRequest): Milliseconds {
    const wait = call.route.latencyObjective * UPSTREAM_WAIT_SHARE;
    return Math.min(call.arrivedAt + wait, call.deadline);
  },

  /** Creates the response for the caller. */
  create(request: UnansweredRequest): LocalResponse {
    return { ...describe(request), wasSent: request.wasSent };
  },

  /**
   * The caller resumes a stream of which this entry can't find the beginning.
   *
   * @param mayBeKnown Whether an entry that didn't answer may know it.
   */
  unknownOrigin(mayBeKnown: boolean): LocalResponse {
    return {
      status: 503,
      message: "It isn't known which version began the stream, so it can't " +
        "be resumed; the request has not run. Remedy: " +
        (mayBeKnown
          ? "send it to another entry."
          : "request the stream from its beginning."),
      retryAfter: mayBeKnown
        ? RETRY_AFTER_MAY_BE_KNOWN
        : RETRY_AFTER_CANNOT_RESUME,
    };
  },

  /** The caller resumes a stream whose service the route no longer leads to. */
  movedRoute(): LocalResponse {
    return {
      status: 503,
      message: "The route leads to another service than the one that began " +
        "the stream; the request has not run. Remedy: request the stream " +
        "from its beginning.",
      retryAfter: RETRY_AFTER_CANNOT_RESUME,
    };
  },

  /** The bodies of other requests fill the memory; it has not run. */
  noRoomForBody(expectedWait: Milliseconds): LocalResponse {
    const { min, max } = retryAfterLimits;
    return {
      status: 503,
      message: "This entry has no room for the request's body beside others; " +
        "the request has not run. Remedy: retry after the time in " +
        "Retry-After.",
      retryAfter: Math.min(max, Math.max(min, expectedWait)),
      refusal: RelayRefusal.overloaded,
    };
  },

  /** The body wasn't complete by the request's deadline; it has not run. */
  lateBody(): LocalResponse {
    return {
      status: 408,
      message: "The request's body wasn't complete in time; the request has " +
        "not run. Remedy: send the body faster.",
      refusal: RelayRefusal.unserved,
    };
  },

  /** The body came in too many chunks; it has not run. */
  fragmentedBody(): LocalResponse {
    return {
      status: 400,
      message: "The request's body has too many chunks for its size; it has " +
        "not run. Remedy: send chunks of 1 KB or more.",
    };
  },

  tooLargeBody(limit: number): LocalResponse {
    return {
      status: 413,
      message: `The body is larger than ${limit} bytes. Remedy: send less.`,
    };
  },

  /**
   * The request failed inside this entry.
   *
   * @param wasSent Whether an upstream may have got it.
   */
  failed(wasSent: boolean): LocalResponse {
    return wasSent
      ? {
        status: 502,
        message: "This entry failed while the request was under way; it may " +
          "have run. Remedy: retry only if running it twice does no harm.",
      }
      : {
        status: 503,
        message: "This entry failed to forward the request; it has not run. " +
          "Remedy: send it to another entry.",
        retryAfter: retryAfterLimits.min,
        refusal: RelayRefusal.unserved,
      };
  },

  /** The request can't complete before this entry exits; it has not run. */
  shuttingDown(): LocalResponse {
    return {
      status: 503,
      message:
        "This entry is shutting down; the request has not run. Remedy: " +
        "send it to another entry.",
      retryAfter: retryAfterLimits.min,
      refusal: RelayRefusal.leaving,
    };
  },
};

function describe(request: UnansweredRequest): LocalResponse {
  if (request.withholdReason === "rejected") {
    return rejected(request.rejectedPart);
  }
  if (request.mayHaveRun) {
    return afterRun(request.givenUpFor);
  }
  if (request.givenUpFor === "shutting_down") {
    return errorResponse.shuttingDown();
  }
  switch (request.withholdReason) {
    case "held":
      return held();
    case "leaving":
      return errorResponse.shuttingDown();
    default:
      if (request.restDelay !== undefined) {
        return resting(request.restDelay);
      }
      return request.isResumed && request.offers === 0 &&
          request.retryAfter === undefined
        ? versionUnavailable()
        : notRun(request);
  }
}

/** No upstream runs the version that began the stream; it has not run. */
function versionUnavailable(): LocalResponse {
  return {
    status: 503,
    message: "No upstream is available with the version that began the " +
      "stream; the request has not run. Remedy: retry after the time in " +
      "Retry-After, or request the stream from its beginning.",
    retryAfter: RETRY_AFTER_NONE,
    refusal: RelayRefusal.noUpstream,
  };
}

/** All upstreams that may run it asked this entry for rest; it has not run. */
function resting(retryAfter: Milliseconds): LocalResponse {
  return {
    status: 503,
    message:
      "The upstreams that may run the request ask for rest; it has not " +
      "run. Remedy: retry after the time in Retry-After.",
    retryAfter,
    refusal: RelayRefusal.noUpstream,
  };
}

/** No upstream accepted the request; it has not run and never will. */
function notRun(
  { offers, retryAfter, isInDoubt }: UnansweredRequest,
): LocalResponse {
  return {
    status: 503,
    message: "No upstream accepted the request; it has not run. Remedy: " +
      "retry after the time in Retry-After.",
    retryAfter: retryAfter ??
      (offers === 0 ? RETRY_AFTER_NONE : RETRY_AFTER_FULL),
    refusal: refusalOf({ retryAfter, isInDoubt }),
  };
}

function refusalOf(
  { retryAfter, isInDoubt }: Pick<
    UnansweredRequest,
    "retryAfter" | "isInDoubt"
  >,
): RelayRefusal {
  if (retryAfter !== undefined) {
    return RelayRefusal.overloaded;
  }
  return isInDoubt ? RelayRefusal.inDoubt : RelayRefusal.noUpstream;
}

/**
 * Upstreams crash while running the request. The status keeps callers from
 * retrying.
 */
function rejected(part: string | undefined): LocalResponse {
  const subject = part === undefined
    ? "this request"
    : `requests with a part of its prompt (${part})`;
  return {
    status: 400,
    message: `Several upstreams crashed while running ${subject}, so it ` +
      "isn't sent to any more. Remedy: change the request, or ask an " +
      "operator to clear it once the upstreams are repaired.",
    refusal: RelayRefusal.rejected,
  };
}

/**
 * Another copy of the request is in flight; this one has not run and never
 * will.
 */
function held(): LocalResponse {
  return {
    status: 503,
    message: "Upstreams crashed while running this request, and another copy " +
      "of it is in flight; this one has not run. Remedy: retry after the " +
      "time in Retry-After.",
    retryAfter: RETRY_AFTER_HELD,
    refusal: RelayRefusal.held,
  };
}

/** The request may have run, but no complete response arrived. */
function afterRun(givenUpFor: UnansweredRequest["givenUpFor"]): LocalResponse {
  const remedy = "Remedy: retry only if running it twice does no harm.";
  switch (givenUpFor) {
    case "time_up":
      return {
        status: 504,
        message: "The upstream didn't respond in time; the request may have " +
          `run. ${remedy}`,
      };
    case "shutting_down":
      return {
        status: 502,
        message: "This entry exits before the upstream has responded; the " +
          `request may have run. ${remedy}`,
      };
    default:
      return {
        status: 502,
        message: "The upstream's response was lost; the request may have " +
          `run. ${remedy}`,
      };
  }
}
