import type { Milliseconds } from "@heroncleat/base";
import type { ChoiceOptions } from "./choice_options.ts";
import type { KnownUpstream } from "./known_upstream.ts";
import type { LocalViews } from "./local_views.ts";
import type { UpstreamStatements } from "./upstream_statements.ts";

/**
 * Time without a heartbeat after which an upstream is lost; several intervals.
 */
const UNRESPONSIVE_TIMEOUT: Milliseconds = 5000;
/**
 * Time before the end of a drain at which nothing more is sent: what is on its
 * way must arrive before it.
 */
const DRAIN_MARGIN: Milliseconds = 250;
/** Minimum time until the departure of an upstream that is fetched from. */
const FETCH_MARGIN: Milliseconds = 500;

/** How the upstreams that may serve a request are available. */
type Availability = {
  /** When the first of them may get it; Infinity if there is none. */
  readonly availableAt: Milliseconds;
  /** How many of them rest now. */
  readonly resting: number;
  /** How many may get it now and have rejected nothing lately. */
  readonly willing: number;
};

type AvailabilityOptions = {
  readonly views: LocalViews;
  /** What upstreams stated to this entry. */
  readonly statements: UpstreamStatements;
  /** See `UpstreamBalancer`. */
  readonly drainTimeout: () => Milliseconds;
};

/**
 * Tells when an upstream may get a request of this entry.
 *
 * @internal
 */
export class UpstreamAvailability {
  readonly #views: LocalViews;
  readonly #statements: UpstreamStatements;
  readonly #drainTimeout: () => Milliseconds;

  constructor({ views, statements, drainTimeout }: AvailabilityOptions) {
    this.#views = views;
    this.#statements = statements;
    this.#drainTimeout = drainTimeout;
  }

  /** How the upstreams that may serve a request are available for it. */
  summarize(
    upstreams: Iterable<KnownUpstream>,
    options: ChoiceOptions,
  ): Availability {
    const { now } = options;
    const availability = { availableAt: Infinity, resting: 0, willing: 0 };
    for (const upstream of upstreams) {
      const at = this.availableAt(upstream, options);
      if (at === Infinity) {
        continue;
      }
      const { id } = upstream.record;
      availability.availableAt = Math.min(availability.availableAt, at);
      availability.resting += this.#statements.isResting(id, now) ? 1 : 0;
      availability.willing += at <= now && !this.#statements.isAvoided(id, now)
        ? 1
        : 0;
    }
    return availability;
  }

  /** Whether an upstream has crashed or stopped sending heartbeats. */
  isLost(
    { record, receivedAt }: KnownUpstream,
    { now, requiresHeartbeats }: Omit<ChoiceOptions, "request">,
  ): boolean {
    const crashedAt = this.#views.crashedAt(record.id);
    return requiresHeartbeats &&
      (now - receivedAt > UNRESPONSIVE_TIMEOUT || receivedAt <= crashedAt);
  }

  /**
   * Until when requests may be sent to an upstream that drains; -Infinity if
   * that isn't known.
   */
  drainEndsAt(
    { record, receivedAt, drainingSince }: KnownUpstream,
  ): Milliseconds {
    if (record.state !== "draining" || drainingSince === undefined) {
      return -Infinity;
    }
    const reclaimedAt = receivedAt + (record.leavesIn ?? Infinity);
    return Math.min(drainingSince + this.#drainTimeout(), reclaimedAt) -
      DRAIN_MARGIN;
  }

  /** When an upstream may get a request; Infinity if it may not serve it. */
  availableAt(
    upstream: KnownUpstream,
    options: ChoiceOptions,
  ): Milliseconds {
    const { record } = upstream;
    const { request, now, requiresHeartbeats } = options;
    if (record.service !== request.service) {
      return Infinity;
    }
    const availableUntil = record.state === "ready"
      ? Infinity
      : request.isResumed
      ? this.drainEndsAt(upstream)
      : -Infinity;
    // Heartbeats are ignored while no updates can reach this entry.
    if (this.isLost(upstream, { now, requiresHeartbeats })) {
      return Infinity;
    }
    // A resumed stream has few upstreams, so it prefers others instead.
    const pausedUntil = request.isResumed
      ? 0
      : this.#views.find(record.id)?.pausedUntil ?? 0;
    const availableAt = Math.max(
      pausedUntil,
      this.#statements.restsUntil(record.id),
    );
    const isAllowed = Math.max(availableAt, now) < availableUntil &&
      !request.excluded.has(record.id) &&
      (request.isAdmitted?.(upstream) ?? true);
    return isAllowed ? availableAt : Infinity;
  }

  /** Whether prompt parts can still be fetched from an upstream. */
  mayFetchFrom(
    { record, receivedAt }: KnownUpstream,
    now: Milliseconds,
  ): boolean {
    if (this.#statements.isResting(record.id, now)) {
      return false;
    }
    if (record.state === "ready") {
      return now - receivedAt < UNRESPONSIVE_TIMEOUT;
    }
    // A draining upstream without a departure time may stop at any moment.
    return record.state === "draining" && record.leavesIn !== undefined &&
      now < receivedAt + record.leavesIn - FETCH_MARGIN;
  }
}
