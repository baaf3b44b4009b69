import type { Clock, Milliseconds } from "@heroncleat/base";
import {
  parseRateLimit,
  type RateLimit,
  type RateLimitRegistry,
  type StatedRateLimit,
} from "@heroncleat/serving";
import type { Log } from "./log.ts";
import type { Metrics } from "./metrics.ts";

/** Limits text from upstreams in log lines. */
const MAX_LOGGED_CHARACTERS = 100;

type WatcherOptions = {
  readonly registry: RateLimitRegistry;
  /** Header in which upstreams state how many requests they accept. */
  readonly header: string;
  /** Header in which they state how many they may reject, if there is one. */
  readonly rejectionHeader?: string;
  readonly clock: Clock;
  /** Converts monotonic time to Unix time. */
  readonly trueTime: (monotonic: Milliseconds) => Milliseconds;
  readonly log: Log;
  readonly metrics: Metrics;
  /** Sends a change to other processes. */
  readonly report: (limit: RateLimit) => void;
};

/** Records the rate limits that upstreams state in their responses. */
export class RateLimitWatcher {
  readonly #options: WatcherOptions;

  constructor(options: WatcherOptions) {
    this.#options = options;
  }

  /**
   * Records a response of an upstream, whatever its status.
   *
   * @param sentAt Monotonic time at which the request was sent.
   */
  recordResponse(
    upstream: string,
    headers: Readonly<Record<string, string | string[] | undefined>>,
    sentAt: Milliseconds,
  ): void {
    const { registry, clock, trueTime, log, metrics, report } = this.#options;
    const { header, rejectionHeader = "" } = this.#options;
    const accepted = readLimit(headers[header]);
    const isOfRejections = accepted.kind === "unlimited" &&
      headers[rejectionHeader] !== undefined;
    const stated = isOfRejections
      ? readLimit(headers[rejectionHeader])
      : accepted;
    if (stated.kind === "unreadable") {
      metrics.increment("rate_limits.unreadable");
      log.warn("Can't read the rate limit that an upstream states", {
        upstream,
        value: stated.value.slice(0, MAX_LOGGED_CHARACTERS),
      });
      return;
    }
    const changed = registry.recordResponse(
      upstream,
      stated.kind === "limited"
        ? { rate: stated.rate, ...(isOfRejections ? { isOfRejections } : {}) }
        : {},
      { sentAt: trueTime(sentAt), receivedAt: trueTime(clock.steady()) },
    );
    if (changed !== undefined) {
      this.#logChange(changed);
      report(changed);
    }
  }

  /** Merges what other processes report. */
  mergeReports(limits: readonly RateLimit[]): void {
    for (const changed of this.#options.registry.merge(limits)) {
      this.#logChange(changed);
    }
  }

  /** Removes the limits of upstreams that no longer exist. */
  removeWhere(isGone: (upstream: string) => boolean): void {
    this.#options.registry.removeWhere(isGone);
  }

  #logChange({ upstream, rate, isOfRejections }: RateLimit): void {
    const { log, metrics } = this.#options;
    metrics.increment("rate_limits.changed");
    if (rate === undefined) {
      log.info("An upstream no longer limits its requests", { upstream });
    } else {
      const message = isOfRejections
        ? "An upstream limits the requests that it rejects"
        : "An upstream limits its requests";
      log.info(message, { upstream, rate });
    }
  }
}

function readLimit(value: string | string[] | undefined): StatedRateLimit {
  return parseRateLimit(Array.isArray(value) ? value.join(",") : value);
}
