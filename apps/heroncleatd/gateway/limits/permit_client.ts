import type { Clock, Milliseconds } from "@heroncleat/base";
import type {
  ClassDemand,
  PermitReply,
  PermitRequest,
  RateLimitRegistry,
  RequestClass,
  SendPermits,
  WantedPermit,
} from "@heroncleat/serving";
import type { Metrics } from "../../common/metrics.ts";

/** Time for which a request waits that another upstream could serve. */
const MAX_WAIT_WITH_ALTERNATIVE: Milliseconds = 25;
/** Requests for permits that one call carries. */
const MAX_WANTED = 32;
/** Time after which demand that no call has carried is outdated. */
const DEMAND_LIFETIME: Milliseconds = 2000;
/** Classes of requests whose demand one call carries. */
const MAX_CLASSES = 100;
/** Upstreams that one request for a permit names. */
const MAX_UPSTREAMS = 8;

type ClientOptions = {
  /** Name of this entry. */
  readonly entry: string;
  readonly permits: SendPermits;
  readonly limits: RateLimitRegistry;
  readonly clock: Clock;
  readonly metrics: Metrics;
  /**
   * Requests permits from the primary; undefined if none replies within a short
   * time.
   */
  readonly call: (request: PermitRequest) => Promise<PermitReply | undefined>;
};

/** A caller's request that waits for a permit. */
type WaitingRequest = {
  readonly wanted: WantedPermit;
  readonly resolve: () => void;
};

/**
 * Requests permits from the primary. One call is in flight at a time; it
 * carries all requests that came up during the one before, the most urgent
 * first.
 */
export class PermitClient {
  readonly #options: ClientOptions;
  readonly #demand = new Map<string, ClassDemand>();
  #demandSince: Milliseconds = -Infinity;
  #waiting: WaitingRequest[] = [];
  #isCalling = false;

  constructor(options: ClientOptions) {
    this.#options = options;
  }

  /** Records a request to which all upstreams are closed but for a permit. */
  recordDemand({ service, priority, workspace }: RequestClass): void {
    const now = this.#options.clock.steady();
    if (now - this.#demandSince > DEMAND_LIFETIME) {
      this.#demand.clear();
      this.#demandSince = now;
    }
    const key = JSON.stringify([service, priority, workspace]);
    const count = 1 + (this.#demand.get(key)?.count ?? 0);
    if (count > 1 || this.#demand.size < MAX_CLASSES) {
      this.#demand.set(key, { service, priority, workspace, count });
    }
  }

  /**
   * Requests a permit for one of several upstreams. Resolves once the result is
   * recorded, whether or not one was granted.
   *
   * @param options.hasAlternative Whether another upstream could serve the
   * request, which then doesn't wait for a slow primary.
   */
  async request(
    wanted: WantedPermit,
    { hasAlternative }: { hasAlternative: boolean },
  ): Promise<void> {
    let timer: NodeJS.Timeout | undefined;
    await new Promise<void>((resolve) => {
      const upstreams = wanted.upstreams.slice(0, MAX_UPSTREAMS);
      const waiting = { wanted: { ...wanted, upstreams }, resolve };
      this.#waiting.push(waiting);
      if (hasAlternative) {
        timer = setTimeout(() => {
          this.#waiting = this.#waiting.filter((each) => each !== waiting);
          resolve();
        }, MAX_WAIT_WITH_ALTERNATIVE);
      }
      void this.#callAll();
    });
    clearTimeout(timer);
  }

  async #callAll(): Promise<void> {
    if (this.#isCalling) {
      return;
    }
    this.#isCalling = true;
    try {
      while (this.#waiting.length > 0) {
        this.#waiting.sort((left, right) =>
          left.wanted.priority - right.wanted.priority
        );
        const sent = this.#waiting.splice(0, MAX_WANTED);
        try {
          await this.#call(sent.map(({ wanted }) => wanted));
        } catch {
          this.#recordUnanswered(sent.map(({ wanted }) => wanted));
        }
        for (const { resolve } of sent) {
          resolve();
        }
      }
    } finally {
      this.#isCalling = false;
    }
  }

  /** Without a reply, or with one that can't be applied, nothing is granted. */
  #recordUnanswered(wanted: readonly WantedPermit[]): void {
    const { permits, clock, metrics } = this.#options;
    metrics.increment("permits.unanswered");
    for (const each of wanted) {
      permits.recordFailure(each, clock.steady());
    }
  }

  async #call(wanted: readonly WantedPermit[]): Promise<void> {
    const { entry, permits, limits, clock, metrics, call } = this.#options;
    const named = wanted.flatMap(({ upstreams }) => upstreams);
    const upstreams = [...new Set(named)];
    permits.recordAsked(upstreams, clock.steady());
    const demand = [...this.#demand.values()];
    this.#demand.clear();
    this.#demandSince = clock.steady();
    const reply = await call({
      entry,
      entryCount: permits.entryCount,
      limits: upstreams.flatMap((upstream) => limits.get(upstream) ?? []),
      wanted,
      demand,
    });
    if (reply === undefined) {
      this.#recordUnanswered(wanted);
      return;
    }
    if (!reply.isIssuing) {
      metrics.increment("permits.not_issuing");
      permits.recordPrimary({ isIssuing: false, now: clock.steady() });
      return;
    }
    limits.merge(reply.limits);
    for (const [index, outcome] of reply.outcomes.entries()) {
      permits.recordOutcome(wanted[index]!, outcome, clock.steady());
      const isGranted = outcome.granted !== null;
      metrics.increment(isGranted ? "permits.granted" : "permits.denied");
    }
  }
}
