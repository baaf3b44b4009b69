import type { Milliseconds } from "@heroncleat/base";
import { ChangeLog } from "./change_log.ts";
import type { RateLimit } from "./rate_limit.ts";
import type { RevisionCounter } from "./revision_counter.ts";

/** Limit of records; those of upstreams without a rate limit go first. */
const MAX_RECORDS = 4000;
/**
 * Share of a limit of rejections for which permits are issued. Permits may be
 * used late, so more of them than that fall into some seconds.
 */
const REJECTION_SHARE = 0.25;

/** Times of a response, both Unix times. */
type ResponseTimes = {
  readonly sentAt: Milliseconds;
  readonly receivedAt: Milliseconds;
};

/**
 * The rate limits that upstreams state in their responses. Reports of several
 * entries may arrive in any order and repeatedly; the newest statement counts.
 *
 * @public
 */
export class RateLimitRegistry {
  readonly #revisions: RevisionCounter;
  readonly #limits = new Map<string, RateLimit>();
  readonly #changes = new ChangeLog();
  #limitedCount = 0;

  constructor(revisions: RevisionCounter) {
    this.#revisions = revisions;
  }

  /** Whether any upstream has a limit in force. */
  get hasLimited(): boolean {
    return this.#limitedCount > 0;
  }

  /** The newest statement of an upstream. */
  get(upstream: string): RateLimit | undefined {
    return this.#limits.get(upstream);
  }

  /**
   * Requests per second that need a permit; undefined without a limit. See
   * `isOfRejections` for which requests those are.
   */
  rateOf(upstream: string): number | undefined {
    const limit = this.#limits.get(upstream);
    return limit?.isOfRejections && limit.rate !== undefined
      ? limit.rate * REJECTION_SHARE
      : limit?.rate;
  }

  /** Whether only requests that an upstream may reject need a permit. */
  isOfRejections(upstream: string): boolean {
    return this.#limits.get(upstream)?.isOfRejections === true;
  }

  /** When the limit in force was last stated; -Infinity without one. */
  statedAt(upstream: string): Milliseconds {
    const limit = this.#limits.get(upstream);
    return limit?.rate === undefined ? -Infinity : limit.statedAt;
  }

  /** Upstreams with a limit in force. */
  *limited(): Iterable<string> {
    for (const [upstream, { rate }] of this.#limits) {
      if (rate !== undefined) {
        yield upstream;
      }
    }
  }

  /**
   * Records what a response states.
   *
   * @param stated The rate in requests per second; undefined if it states no
   *     limit.
   * @returns The limit, if it has changed.
   */
  recordResponse(
    upstream: string,
    stated: Pick<RateLimit, "rate" | "isOfRejections">,
    { sentAt, receivedAt }: ResponseTimes,
  ): RateLimit | undefined {
    const { rate, isOfRejections } = stated;
    if (rate === undefined && this.rateOf(upstream) === undefined) {
      return undefined;
    }
    const statedAt = rate === undefined ? sentAt : receivedAt;
    const limit: RateLimit = {
      upstream,
      rate,
      statedAt,
      ...(isOfRejections ? { isOfRejections } : {}),
    };
    return this.#apply(limit) === "changed" ? limit : undefined;
  }

  /**
   * Merges the reports of other processes.
   *
   * @returns The limits that have changed.
   */
  merge(limits: readonly RateLimit[]): RateLimit[] {
    const changed: RateLimit[] = [];
    for (const limit of limits) {
      const outcome = this.#apply(limit);
      if (outcome === "changed") {
        changed.push(limit);
      } else if (outcome === "outdated") {
        // Whoever sent it lacks the newer statement.
        this.#recordChange(limit.upstream);
      }
    }
    return changed;
  }

  /** Limits that changed after a revision, including those that ended. */
  changesSince(revision: number): RateLimit[] {
    return this.#changes.idsSince(revision).map((id) => this.#limits.get(id)!);
  }

  /** Removes the records of upstreams that no longer exist. */
  removeWhere(isGone: (upstream: string) => boolean): void {
    for (const upstream of this.#limits.keys()) {
      if (isGone(upstream)) {
        this.#remove(upstream);
      }
    }
  }

  #apply(limit: RateLimit): "changed" | "unchanged" | "outdated" {
    const known = this.#limits.get(limit.upstream);
    const isSame = known !== undefined && known.rate === limit.rate &&
      known.isOfRejections === limit.isOfRejections;
    if (known !== undefined && !supersedes(limit, known)) {
      return isSame ? "unchanged" : "outdated";
    }
    this.#limitedCount += countLimited(limit) - countLimited(known);
    this.#limits.set(limit.upstream, limit);
    if (isSame) {
      return "unchanged";
    }
    this.#recordChange(limit.upstream);
    this.#enforceMaximum();
    return "changed";
  }

  #recordChange(upstream: string): void {
    this.#changes.record(upstream, this.#revisions.next());
  }

  #enforceMaximum(): void {
    if (this.#limits.size <= MAX_RECORDS) {
      return;
    }
    const unlimited = [...this.#limits.values()].find(({ rate }) =>
      rate === undefined
    );
    this.#remove(unlimited?.upstream ?? this.#limits.keys().next().value!);
  }

  #remove(upstream: string): void {
    this.#limitedCount -= countLimited(this.#limits.get(upstream));
    this.#limits.delete(upstream);
    this.#changes.remove(upstream);
  }
}

/** Of two statements of the same time, the lower limit counts. */
function supersedes(limit: RateLimit, known: RateLimit): boolean {
  return limit.statedAt > known.statedAt ||
    (limit.statedAt === known.statedAt &&
      (limit.rate ?? Infinity) < (known.rate ?? Infinity));
}

function countLimited(limit: RateLimit | undefined): number {
  return limit?.rate === undefined ? 0 : 1;
}
