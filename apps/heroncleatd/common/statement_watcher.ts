import type { Clock, Milliseconds } from "@heroncleat/base";
import {
  parseRetryAfter,
  type StatedRetryAfter,
  type UpstreamStatements,
} from "@heroncleat/serving";
import type { Log } from "./log.ts";
import type { Metrics } from "./metrics.ts";
import type { RateLimitWatcher } from "./rate_limit_watcher.ts";

const SERVICE_UNAVAILABLE = 503;
const TOO_MANY_REQUESTS = 429;
const FIRST_FAILURE_STATUS = 500;
/** Limits text from upstreams in log lines. */
const MAX_LOGGED_CHARACTERS = 100;

type WatcherOptions = {
  readonly statements: UpstreamStatements;
  readonly rateLimits: RateLimitWatcher;
  /** Header by which an upstream states that it leaves, in lower case. */
  readonly leavingHeader: string;
  readonly clock: Pick<Clock, "steady" | "wall">;
  readonly log: Log;
  readonly metrics: Metrics;
  /** Called when an upstream instance first states that it leaves. */
  readonly onLeaving: (upstream: string) => void;
};

/** The head of a response that an upstream sent to this entry. */
type ResponseHead = {
  readonly status: number;
  /** By lower-case name. */
  readonly headers: Readonly<Record<string, string | string[] | undefined>>;
  /** Whether it states that the request has not run. */
  readonly isNotRun: boolean;
  /** Monotonic time at which the request was sent. */
  readonly sentAt: Milliseconds;
  /** Identifies the request in the log. */
  readonly request: string;
  /** Whether its connection is still open. */
  readonly isConnected?: () => boolean;
};

/**
 * Records what upstreams state about themselves in responses: rest, departure
 * and rate limits. Every response of an upstream passes here, whatever surface
 * the request came by.
 */
export class StatementWatcher {
  readonly #options: WatcherOptions;

  constructor(options: WatcherOptions) {
    this.#options = options;
  }

  /** Records the head of a response of an upstream instance. */
  recordResponse(upstream: string, head: ResponseHead): void {
    const { rateLimits, leavingHeader } = this.#options;
    rateLimits.recordResponse(upstream, head.headers, head.sentAt);
    if (readValues(head.headers[leavingHeader]).includes("1")) {
      this.#recordLeaving(upstream, head.request);
    }
    this.#recordAvailability(upstream, head);
  }

  /**
   * Records that an upstream states that it leaves, in a response that another
   * entry passed on.
   */
  recordRelayedLeaving(upstream: string): void {
    this.#recordLeaving(upstream, "");
  }

  /** Drops what no longer matters, and the rate limits of what is gone. */
  expire(isGone: (upstream: string) => boolean): void {
    const { statements, rateLimits, clock } = this.#options;
    statements.expire(clock.steady());
    rateLimits.removeWhere(isGone);
  }

  #recordLeaving(upstream: string, request: string): void {
    const { statements, clock, log, metrics, onLeaving } = this.#options;
    if (statements.recordLeaving(upstream, clock.steady())) {
      metrics.increment("statements.leaving");
      log.info("An upstream states that it leaves", { upstream, request });
      onLeaving(upstream);
    }
  }

  #recordAvailability(upstream: string, head: ResponseHead): void {
    const { status, isNotRun, sentAt } = head;
    const { statements, clock } = this.#options;
    const stated = parseRetryAfter(readValues(head.headers["retry-after"]), {
      now: clock.wall(),
    });
    const isRest = status === SERVICE_UNAVAILABLE && stated.kind === "rest";
    if (isRest || (isNotRun && isUnwilling(status))) {
      this.#recordRejection(upstream, head, stated);
    } else if (!isNotRun && status < FIRST_FAILURE_STATUS) {
      statements.recordAcceptance(upstream, sentAt);
    }
  }

  #recordRejection(
    upstream: string,
    { status, request, isConnected = () => false }: ResponseHead,
    stated: StatedRetryAfter,
  ): void {
    const { statements, clock, log, metrics } = this.#options;
    const now = clock.steady();
    if (stated.kind === "unreadable") {
      metrics.increment("rests.unreadable");
      log.warn("Can't read the Retry-After of an upstream", {
        upstream,
        request,
        value: stated.value.slice(0, MAX_LOGGED_CHARACTERS),
      });
    }
    const rest = stated.kind === "rest" ? stated.duration : 0;
    const begins = statements.recordRejection(upstream, {
      rest,
      isAdvice: status === TOO_MANY_REQUESTS,
      isConnected,
      now,
    });
    metrics.increment("rests.rejections");
    if (begins) {
      metrics.increment("rests.begun");
      log.info("An upstream asks for rest", {
        upstream,
        request,
        askedFor: Math.round(rest),
        shortened: stated.kind === "rest" && stated.isShortened ? "yes" : "no",
      });
      this.#awaitEnd(upstream, now);
    }
  }

  /** Logs the end of a rest, which later rejections may put off. */
  #awaitEnd(upstream: string, begunAt: Milliseconds): void {
    const { statements, clock, log } = this.#options;
    const remaining = statements.restsUntil(upstream) - clock.steady();
    setTimeout(() => {
      const now = clock.steady();
      if (statements.isResting(upstream, now)) {
        this.#awaitEnd(upstream, begunAt);
      } else {
        const lasted = Math.round(now - begunAt);
        log.info("The rest of an upstream has ended", { upstream, lasted });
      }
    }, remaining).unref();
  }
}

/** Whether a status says that the upstream doesn't want the request now. */
function isUnwilling(status: number): boolean {
  return status === SERVICE_UNAVAILABLE || status === TOO_MANY_REQUESTS;
}

function readValues(value: string | string[] | undefined): readonly string[] {
  return value === undefined ? [] : [value].flat();
}
