import type { Milliseconds } from "@heroncleat/base";
import type { PermitOutcome } from "./permit_outcome.ts";
import type { RateLimitRegistry } from "./rate_limit_registry.ts";
import type { RequestClass } from "./request_class.ts";
import { SendTurns } from "./send_turns.ts";
import { slotShare } from "./slot_share.ts";
import type { WantedPermit } from "./wanted_permit.ts";

/**
 * Time for which an issued permit may be used. It bounds the permits of idle
 * entries that are used together later.
 */
const PERMIT_LIFETIME: Milliseconds = 500;
/** Pause before the next request for permits after one that failed. */
const FAILURE_PAUSE: Milliseconds = 100;
/**
 * Time for which requests for permits fail before this entry takes turns with
 * the others. By then the replica no longer issues its share.
 */
const UNREACHABLE_TIMEOUT: Milliseconds = 1500;
/**
 * Time after which a limit is to be confirmed. An upstream that gets no
 * requests can't tell that its limit has ended.
 */
const CONFIRMATION_INTERVAL: Milliseconds = 5000;
/** Maximum time until which an upstream isn't asked for. */
const MAX_DENIAL: Milliseconds = 5000;

/** A permission that was used for one request. */
export type SendPermit = {
  readonly upstream: string;
  /** Monotonic time until which it may be used if it is returned. */
  readonly expiresAt: Milliseconds;
};

/** Where permits come from. */
type PermitSource =
  /** A replica issues them. */
  | { readonly kind: "issued" }
  /** The replica can't be reached. */
  | { readonly kind: "failing"; readonly since: Milliseconds }
  /** The entries take turns. */
  | { readonly kind: "turns"; readonly since: Milliseconds };

type PermitOptions = {
  readonly limits: RateLimitRegistry;
  /** Name of this entry. */
  readonly entry: string;
  /** Converts monotonic time to Unix time. */
  readonly trueTime: (monotonic: Milliseconds) => Milliseconds;
};

/**
 * Which upstreams with a rate limit this entry may send to. Permits come from
 * the primary; while none issues them, the entries take turns. Upstreams
 * without a limit need no permit.
 *
 * @public
 */
export class SendPermits {
  readonly #options: PermitOptions;
  readonly #turns: SendTurns;
  readonly #held: SendPermit[] = [];
  /** When a class may ask for an upstream again, by class and upstream. */
  readonly #deniedUntil = new Map<string, Map<string, Milliseconds>>();
  readonly #askedAt = new Map<string, Milliseconds>();
  #source: PermitSource = { kind: "issued" };
  #entryCount = 1;
  #entryNames: readonly string[] = [];

  constructor(options: PermitOptions) {
    this.#options = options;
    this.#turns = new SendTurns(options.entry);
  }

  /** Whether requests to any upstream need a permit. */
  get areNeeded(): boolean {
    return this.#options.limits.hasLimited;
  }

  /** Whether requests to an upstream need a permit. */
  isLimited(upstream: string): boolean {
    return this.#options.limits.rateOf(upstream) !== undefined;
  }

  /** Whether an upstream limits the requests that it rejects for want of room. */
  limitsRejections(upstream: string): boolean {
    return this.#options.limits.isOfRejections(upstream);
  }

  /**
   * Whether an upstream has room for another request, if each entry keeps to
   * its share of the slots.
   */
  hasOwnSlot(
    upstream: string,
    { ownRequests, slots }: { ownRequests: number; slots: number },
  ): boolean {
    return ownRequests < slotShare({
      slots,
      entry: this.#options.entry,
      entries: this.#entryNames,
      entryCount: this.#entryCount,
      upstream,
    });
  }

  /** Number of entries that share the limits. */
  get entryCount(): number {
    return this.#entryCount;
  }

  /** @param count Number of entries, which may exceed those that are listed. */
  setEntries(names: readonly string[], count: number): void {
    this.#entryCount = Math.max(1, count);
    this.#entryNames = names;
    this.#turns.setEntries(names, count);
  }

  /** Whether a request may be sent to an upstream now. */
  isAvailable(upstream: string, now: Milliseconds): boolean {
    const rate = this.#options.limits.rateOf(upstream);
    if (rate === undefined || this.#findHeld(upstream, now) !== -1) {
      return true;
    }
    const turnsSince = this.#turnsSince(now);
    return turnsSince !== undefined && this.#turns.hasTurn({
      upstream,
      rate,
      now: this.#trueTime(now),
      turnsSince: this.#trueTime(turnsSince),
    });
  }

  /**
   * Takes the permission to send one request to an available upstream.
   *
   * @returns The permit, to be returned if the request isn't sent; undefined if
   * none was needed.
   */
  take(upstream: string, now: Milliseconds): SendPermit | undefined {
    const rate = this.#options.limits.rateOf(upstream);
    if (rate === undefined) {
      return undefined;
    }
    const index = this.#findHeld(upstream, now);
    if (index !== -1) {
      return this.#held.splice(index, 1)[0];
    }
    this.#turns.use({
      upstream,
      rate,
      now: this.#trueTime(now),
      turnsSince: this.#trueTime(this.#turnsSince(now) ?? now),
    });
    return { upstream, expiresAt: now + PERMIT_LIFETIME };
  }

  /** Returns the permit of a request that can't have reached its upstream. */
  giveBack(permit: SendPermit): void {
    this.#held.push(permit);
  }

  /** Whether a request of a class may ask for a permit for an upstream. */
  mayAsk(
    upstream: string,
    { requestClass, now }: { requestClass: RequestClass; now: Milliseconds },
  ): boolean {
    return !this.#takesTurns(now) &&
      this.#deniedUntilOf(requestClass, upstream) <= now;
  }

  /** Whether an upstream is preferred, as its limit is to be confirmed. */
  isConfirmationDue(upstream: string, now: Milliseconds): boolean {
    const confirmedAt = Math.max(
      this.#options.limits.statedAt(upstream),
      this.#trueTime(this.#askedAt.get(upstream) ?? -Infinity),
    );
    return this.isLimited(upstream) &&
      this.#trueTime(now) - confirmedAt >= CONFIRMATION_INTERVAL;
  }

  recordAsked(upstreams: readonly string[], now: Milliseconds): void {
    for (const upstream of upstreams) {
      this.#askedAt.set(upstream, now);
    }
  }

  /** Records what became of a request that waited for a permit. */
  recordOutcome(
    requestClass: RequestClass,
    { granted, availableIn }: PermitOutcome,
    now: Milliseconds,
  ): void {
    this.#source = { kind: "issued" };
    this.#dropExpired(now);
    if (granted !== null && this.isLimited(granted)) {
      this.#held.push({ upstream: granted, expiresAt: now + PERMIT_LIFETIME });
    }
    for (const [upstream, time] of Object.entries(availableIn)) {
      const until = now + Math.min(MAX_DENIAL, time);
      this.#deny(requestClass, upstream, until);
    }
  }

  /** Records whether the primary that this entry reaches issues permits. */
  recordPrimary(
    { isIssuing, now }: { isIssuing: boolean; now: Milliseconds },
  ): void {
    if (!isIssuing) {
      this.#takeTurns(now);
    } else if (this.#takesTurns(now)) {
      this.#source = { kind: "issued" };
    }
  }

  /** Records that the primary didn't reply to a request for a permit. */
  recordFailure(
    { upstreams, ...requestClass }: WantedPermit,
    now: Milliseconds,
  ): void {
    if (this.#source.kind === "issued") {
      this.#source = { kind: "failing", since: now };
    }
    for (const upstream of upstreams) {
      this.#deny(requestClass, upstream, now + FAILURE_PAUSE);
    }
  }

  /** Records that no replica is reachable; the primary knows by now. */
  recordIsolation(now: Milliseconds): void {
    this.#takeTurns(now);
  }

  /**
   * Time until one of the upstreams may accept another request of a class.
   */
  availableIn(
    upstreams: readonly string[],
    { requestClass, now }: { requestClass: RequestClass; now: Milliseconds },
  ): Milliseconds {
    let earliest = MAX_DENIAL;
    for (const upstream of upstreams) {
      const rate = this.#options.limits.rateOf(upstream);
      const time = rate !== undefined && this.#takesTurns(now)
        ? this.#turns.nextIn({ upstream, rate, now: this.#trueTime(now) })
        : this.#deniedUntilOf(requestClass, upstream) - now;
      earliest = Math.min(earliest, time);
    }
    return Math.max(0, earliest);
  }

  /** Requests per second that this entry's even share of the limits is. */
  evenShareOf(upstreams: readonly string[]): number {
    let total = 0;
    for (const upstream of upstreams) {
      total += this.#options.limits.rateOf(upstream) ?? 0;
    }
    return total / this.#entryCount;
  }

  /** Removes what is recorded of upstreams that match, or has expired. */
  removeWhere(isGone: (upstream: string) => boolean, now: Milliseconds): void {
    this.#turns.removeWhere(isGone);
    for (const upstream of this.#askedAt.keys()) {
      if (isGone(upstream)) {
        this.#askedAt.delete(upstream);
      }
    }
    for (const [key, denials] of this.#deniedUntil) {
      for (const [upstream, until] of denials) {
        if (until <= now) {
          denials.delete(upstream);
        }
      }
      if (denials.size === 0) {
        this.#deniedUntil.delete(key);
      }
    }
  }

  #deny(
    requestClass: RequestClass,
    upstream: string,
    until: Milliseconds,
  ): void {
    const key = keyOf(requestClass);
    const denials = this.#deniedUntil.get(key) ??
      new Map<string, Milliseconds>();
    denials.set(upstream, until);
    this.#deniedUntil.set(key, denials);
  }

  #deniedUntilOf(requestClass: RequestClass, upstream: string): Milliseconds {
    return this.#deniedUntil.get(keyOf(requestClass))?.get(upstream) ??
      -Infinity;
  }

  #takesTurns(now: Milliseconds): boolean {
    return this.#turnsSince(now) !== undefined;
  }

  /** Since when this entry takes turns; undefined if it needs permits. */
  #turnsSince(now: Milliseconds): Milliseconds | undefined {
    if (this.#source.kind === "issued") {
      return undefined;
    }
    const since = this.#source.kind === "turns"
      ? this.#source.since
      : this.#source.since + UNREACHABLE_TIMEOUT;
    return since <= now ? since : undefined;
  }

  #takeTurns(now: Milliseconds): void {
    this.#source = { kind: "turns", since: this.#turnsSince(now) ?? now };
  }

  #findHeld(upstream: string, now: Milliseconds): number {
    return this.#held.findIndex((permit) =>
      permit.upstream === upstream && permit.expiresAt > now
    );
  }

  #dropExpired(now: Milliseconds): void {
    for (let index = this.#held.length - 1; index >= 0; index -= 1) {
      if (this.#held[index]!.expiresAt <= now) {
        this.#held.splice(index, 1);
      }
    }
  }

  #trueTime(now: Milliseconds): Milliseconds {
    return this.#options.trueTime(now);
  }
}

function keyOf({ service, priority, workspace }: RequestClass): string {
  return JSON.stringify([service, priority, workspace]);
}
