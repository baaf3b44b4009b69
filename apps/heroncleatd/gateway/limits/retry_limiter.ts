import type { Clock, Milliseconds } from "@heroncleat/base";
import {
  type LeasedShare,
  type RetryUsage,
  SharedRetryBudget,
} from "@heroncleat/serving";
import type { Log } from "../../common/log.ts";
import type { Metrics } from "../../common/metrics.ts";
import type { GatewaySettings } from "../gateway_settings.ts";

/** Interval of the log lines about refused retries of one service. */
const LOG_INTERVAL_MS = 1000;

type RetryLimiterOptions = {
  readonly settings: () => Pick<
    GatewaySettings,
    "retryRatio" | "retryWindow" | "retrySlack"
  >;
  readonly clock: Pick<Clock, "steady">;
  readonly log: Log;
  readonly metrics: Metrics;
  /** This entry's share of the retries that don't depend on requests. */
  readonly share: Pick<LeasedShare, "value" | "entries">;
};

/** The retry budgets of this entry, by service. */
export class RetryLimiter {
  readonly #options: RetryLimiterOptions;
  readonly #budgets = new Map<string, SharedRetryBudget>();
  /** When a refused retry was last logged, by service. */
  readonly #loggedAt = new Map<string, Milliseconds>();

  constructor(options: RetryLimiterOptions) {
    this.#options = options;
  }

  /** Records a caller's request to a service. */
  recordRequest(service: string): void {
    this.#budgetOf(service).recordRequest(this.#options.clock.steady());
  }

  /** Whether so many retries are available. */
  areAvailable(service: string, count: number): boolean {
    const { spent, bound } = this.#usageOf(service);
    return spent + count <= bound;
  }

  /**
   * Whether a retry is available, so that it is worth looking for an upstream. A
   * refusal is counted and logged.
   */
  hasRetry(service: string): boolean {
    if (this.areAvailable(service, 1)) {
      return true;
    }
    this.#recordRefusal(service);
    return false;
  }

  /** Consumes one retry when it is sent; returns whether one was available. */
  tryConsume(service: string): boolean {
    const { clock, metrics, share } = this.#options;
    const now = clock.steady();
    if (!this.#budgetOf(service).tryConsume(now, share.value(now))) {
      this.#recordRefusal(service);
      return false;
    }
    metrics.increment(`gateway.retries.sent.${service}`);
    this.#exposeUsage(service);
    return true;
  }

  #exposeUsage(service: string): void {
    const { spent, bound } = this.#usageOf(service);
    this.#options.metrics.gauge(`gateway.retries.spent.${service}`, spent);
    this.#options.metrics.gauge(`gateway.retries.bound.${service}`, bound);
  }

  #recordRefusal(service: string): void {
    const { clock, log, metrics, settings, share } = this.#options;
    metrics.increment(`gateway.retries.refused.${service}`);
    const now = clock.steady();
    const loggedAt = this.#loggedAt.get(service) ?? -Infinity;
    if (now - loggedAt < LOG_INTERVAL_MS) {
      return;
    }
    this.#loggedAt.set(service, now);
    this.#exposeUsage(service);
    const { requests, spent, fromMinimum, bound } = this.#usageOf(service);
    log.info("Refused a retry", {
      service,
      spent,
      bound: bound.toFixed(2),
      requests: Math.round(requests),
      fromMinimum: fromMinimum.toFixed(2),
      entries: share.entries,
      window: settings().retryWindow,
    });
  }

  #usageOf(service: string): RetryUsage {
    const { clock, share } = this.#options;
    const now = clock.steady();
    return this.#budgetOf(service).usage(now, share.value(now));
  }

  #budgetOf(service: string): SharedRetryBudget {
    const existing = this.#budgets.get(service);
    if (existing !== undefined) {
      return existing;
    }
    const budget = new SharedRetryBudget(() => {
      const { retryRatio, retryWindow, retrySlack } = this.#options.settings();
      return {
        ratio: retryRatio,
        window: retryWindow,
        minRetries: retrySlack,
      };
    });
    this.#budgets.set(service, budget);
    return budget;
  }
}
