import type { Clock, Milliseconds } from "@heroncleat/base";
import { SharedRetryBudget } from "@heroncleat/serving";
import type { Log } from "../common/log.ts";
import type { Metrics } from "../common/metrics.ts";
import type { GatewaySettings } from "./gateway_settings.ts";

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
  /** Number of entries that share the budgets. */
  readonly countEntries: () => number;
  /** Monotonic time from which the minimum number of retries may be used. */
  readonly minRetriesFrom: Milliseconds;
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

  /** Consumes one retry; returns whether one was available. */
  tryConsume(service: string): boolean {
    const { clock, metrics, countEntries } = this.#options;
    const budget = this.#budgetOf(service);
    const isAllowed = budget.tryConsume(clock.steady(), countEntries());
    metrics.increment(
      `gateway.retries.${isAllowed ? "sent" : "refused"}.${service}`,
    );
    if (!isAllowed) {
      this.#logRefusal(service);
    }
    this.#exposeUsage(service);
    return isAllowed;
  }

  #exposeUsage(service: string): void {
    const { spent, bound } = this.#usageOf(service);
    this.#options.metrics.gauge(`gateway.retries.spent.${service}`, spent);
    this.#options.metrics.gauge(`gateway.retries.bound.${service}`, bound);
  }

  #logRefusal(service: string): void {
    const { clock, log, settings, countEntries } = this.#options;
    const now = clock.steady();
    const loggedAt = this.#loggedAt.get(service) ?? -Infinity;
    if (now - loggedAt < LOG_INTERVAL_MS) {
      return;
    }
    this.#loggedAt.set(service, now);
    const { requests, spent, fromMinimum, bound } = this.#usageOf(service);
    log.info("Refused a retry", {
      service,
      spent,
      bound: bound.toFixed(2),
      requests,
      fromMinimum: fromMinimum.toFixed(2),
      entries: countEntries(),
      window: settings().retryWindow,
    });
  }

  #usageOf(service: string) {
    const { clock, countEntries } = this.#options;
    return this.#budgetOf(service).usage(clock.steady(), countEntries());
  }

  #budgetOf(service: string): SharedRetryBudget {
    const existing = this.#budgets.get(service);
    if (existing !== undefined) {
      return existing;
    }
    const { settings, minRetriesFrom } = this.#options;
    const { retryRatio, retryWindow, retrySlack } = settings();
    const budget = new SharedRetryBudget({
      ratio: retryRatio,
      window: retryWindow,
      minRetries: retrySlack,
      minRetriesFrom,
    });
    this.#budgets.set(service, budget);
    return budget;
  }
}
