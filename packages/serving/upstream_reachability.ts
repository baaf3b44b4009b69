import type { Milliseconds } from "@heroncleat/base";

/** Time for which a connection that couldn't be opened counts. */
const EVIDENCE_LIFETIME: Milliseconds = 3000;
/**
 * Upstreams that must fail with no response in between. Fewer have more likely
 * ended by themselves.
 */
const MIN_FAILED_UPSTREAMS = 6;
/** Upstreams after whose failure others are probed, to decide soon. */
const SUSPICIOUS_FAILURES = 2;
/** Time for which such failures raise doubt; probes take less. */
const DOUBT_PERIOD: Milliseconds = 500;
/** Interval of the probes while no upstream is reachable. */
const PROBE_INTERVAL: Milliseconds = 250;
/** Time without any response after which an upstream is probed. */
const SILENCE_LIMIT: Milliseconds = 400;
/** Shortest time between two probes while upstreams seem reachable. */
const SILENCE_PROBE_INTERVAL: Milliseconds = 1000;

/** A connection that couldn't be opened. */
type ConnectionFailure = {
  /** Monotonic time at which opening the connection began. */
  readonly startedAt: Milliseconds;
  readonly now: Milliseconds;
  /** Number of upstreams of the service that are ready. */
  readonly upstreams: number;
  /** Versions of them of which none has failed; none if absent. */
  readonly untriedVersions?: number;
  /** Whether it was neither refused nor accepted in time. */
  readonly isSilent: boolean;
};

type FailureVerdict = "none" | "probe" | "cut_off";

/**
 * Concludes from one entry's own connections whether it reaches the upstreams
 * of a service at all. It doesn't if several of them fail one after the other
 * and none responds; a connection that opens shows that it does again.
 *
 * @public
 */
export class UpstreamReachability {
  readonly #failedAt = new Map<string, Milliseconds>();
  /** When upstreams that failed were silent. */
  readonly #silentAt = new Map<string, Milliseconds>();
  #heardAt: Milliseconds = -Infinity;
  #connectedAt: Milliseconds = -Infinity;
  #probedAt: Milliseconds = -Infinity;
  #isCutOff = false;

  /** Whether none of the upstreams is reachable from this entry. */
  get isCutOff(): boolean {
    return this.#isCutOff;
  }

  /**
   * Whether none may be reachable, so that trying one may take long. Probes will
   * soon tell; those that are refused tell at once.
   */
  isInDoubt(now: Milliseconds): boolean {
    if (this.#isCutOff) {
      return this.#silentAt.size > 0;
    }
    let recent = 0;
    for (const at of this.#silentAt.values()) {
      recent += now - at <= DOUBT_PERIOD ? 1 : 0;
    }
    return recent >= SUSPICIOUS_FAILURES;
  }

  /**
   * Records that a connection to an upstream couldn't be opened.
   *
   * @returns Whether this entry has just found itself cut off, or must probe
   *     more upstreams to tell.
   */
  recordFailure(
    upstream: string,
    failure: ConnectionFailure,
  ): FailureVerdict {
    const { startedAt, now } = failure;
    if (this.#heardAt > startedAt) {
      return "none";
    }
    const isRepeated = this.#failedAt.has(upstream);
    for (const [name, at] of this.#failedAt) {
      if (!this.#isCutOff && now - at > EVIDENCE_LIFETIME) {
        this.#failedAt.delete(name);
      }
    }
    this.#failedAt.set(upstream, now);
    if (failure.isSilent) {
      this.#silentAt.set(upstream, now);
    }
    if (this.#isCutOff) {
      return "none";
    }
    if (this.countMissing(failure) > 0) {
      const isSuspicious = !isRepeated &&
        this.#failedAt.size === SUSPICIOUS_FAILURES;
      return isSuspicious ? "probe" : "none";
    }
    this.#isCutOff = true;
    return "cut_off";
  }

  /**
   * Number of further upstreams that must fail, one of each version among them,
   * as all of a version may end together.
   */
  countMissing(
    { upstreams, untriedVersions = 0 }: Pick<
      ConnectionFailure,
      "upstreams" | "untriedVersions"
    >,
  ): number {
    const needed = Math.min(MIN_FAILED_UPSTREAMS, Math.max(1, upstreams));
    return Math.max(0, needed - this.#failedAt.size, untriedVersions);
  }

  /**
   * Records that a response began. While cut off it proves nothing, as open
   * connections may live on while new ones fail.
   */
  recordResponse(now: Milliseconds): void {
    this.#heardAt = now;
    if (!this.#isCutOff) {
      this.#forgetFailures();
    }
  }

  /**
   * Records that a connection was opened.
   *
   * @returns Whether this entry was cut off before.
   */
  recordConnection(now: Milliseconds): boolean {
    const wasCutOff = this.#isCutOff;
    this.#isCutOff = false;
    this.#heardAt = now;
    this.#connectedAt = now;
    this.#forgetFailures();
    return wasCutOff;
  }

  /** Whether a connection was opened after a moment. */
  hasConnectedSince(moment: Milliseconds): boolean {
    return this.#connectedAt > moment;
  }

  /** Whether an upstream has failed since one was last reached. */
  hasFailed(upstream: string): boolean {
    return this.#failedAt.has(upstream);
  }

  /**
   * Whether to probe an upstream now, as nothing was heard since the oldest
   * request that waits for a response was sent, or to find the end of a cut.
   * The probe counts as begun.
   *
   * @param waitingSince When that request was sent; undefined if none waits.
   */
  takeProbe(
    waitingSince: Milliseconds | undefined,
    now: Milliseconds,
  ): boolean {
    const isSilent = waitingSince !== undefined &&
      now - Math.max(waitingSince, this.#heardAt) > SILENCE_LIMIT;
    const interval = this.#isCutOff ? PROBE_INTERVAL : SILENCE_PROBE_INTERVAL;
    if ((!this.#isCutOff && !isSilent) || now - this.#probedAt < interval) {
      return false;
    }
    this.#probedAt = now;
    return true;
  }

  #forgetFailures(): void {
    this.#failedAt.clear();
    this.#silentAt.clear();
  }
}
