import type { Milliseconds } from "@heroncleat/base";
import { OthersCharges } from "./others_charges.ts";
import type { Workspace } from "./workspace.ts";

/** How far the quotas may be overrun, and over which time. @public */
export type QuotaSettings = {
  /** Whether the whole system starts with this process, with full buckets. */
  readonly isFresh: boolean;
  /** Time over which a workspace's spending is judged. */
  readonly window: Milliseconds;
  /** Part of the quota of a window that may be spent beyond it. */
  readonly overshoot: number;
  /** Tokens that may be spent beyond that in a window. */
  readonly tolerance: number;
};

/** What a request was charged to. @public */
export type QuotaCharge = {
  readonly workspace: string;
  readonly amount: number;
  /** Whether it was paid from what is tolerated beyond the quota. */
  readonly isExcess: boolean;
};

/**
 * Part of the tolerated excess that may be spent on purpose. The rest covers
 * what entries spend before they hear of each other.
 */
const EXCESS_SHARE = 0.2;
const SECOND: Milliseconds = 1000;
const EXCESS_SUFFIX = " excess";

/**
 * Part of a bucket that a restarted entry starts with. What was spent before
 * is not known, but nobody spent while the entry was down.
 */
const RESTART_SHARE = 0.5;

/** Time without news for which the others are taken to spend as before. */
const MOST_FORECAST: Milliseconds = 1000;

/** One token bucket as this entry sees it. */
type Bucket = {
  level: number;
  filledAt: Milliseconds;
  /** Tokens that the others spent in a millisecond before the last news. */
  othersPace: number;
  /** Tokens that other sources added since the last whole news. */
  addedBetween: number;
  /** Tokens that this entry took since the last news. */
  takenSinceNews: number;
};

/** Size and rate of a bucket, in tokens and tokens a second. */
type BucketTerms = {
  readonly name: string;
  readonly size: number;
  readonly rate: number;
};

/**
 * Quotas of workspaces shared by all entries without asking on each request.
 * Every entry holds a whole copy of each bucket, takes its own charges off at
 * once, and those of the others when news of them arrives. Entries that are
 * out of reach are taken to use an even share until they are heard again.
 *
 * What the quota covers is always served. A second bucket of what is tolerated
 * beyond it serves some of the rest, so that requests beyond the quota never
 * take the place of those within.
 *
 * @public
 */
export class WorkspaceQuota {
  readonly #settings: QuotaSettings;
  readonly #buckets = new Map<string, Bucket>();
  readonly #spent = new Map<string, number>();
  readonly #others: OthersCharges;
  #othersAt: Milliseconds = 0;
  #entries = 1;
  /** Share of the rate that this entry's side of the system may hand out. */
  #share = 1;

  constructor(settings: QuotaSettings) {
    this.#settings = settings;
    this.#others = new OthersCharges(settings.isFresh);
  }

  /** Charges a request, or says how long until it could be charged. */
  charge(
    workspace: Workspace,
    options: { amount: number; now: Milliseconds },
  ):
    | { ok: true; charge: QuotaCharge }
    | { ok: false; retryAfter: Milliseconds } {
    const { amount, now } = options;
    const { name } = workspace;
    if (workspace.rate <= 0) {
      return { ok: true, charge: { workspace: name, amount, isExcess: false } };
    }
    const quota = this.#quotaTerms(workspace);
    const level = this.#levelOf(quota, now);
    const isCovered = level >= Math.min(amount, quota.size);
    if (isCovered) {
      this.#take(quota.name, amount);
      return { ok: true, charge: { workspace: name, amount, isExcess: false } };
    }
    const excess = this.#excessTerms(workspace);
    if (this.#cautiousLevelOf(excess, now) >= amount) {
      this.#take(excess.name, amount);
      return { ok: true, charge: { workspace: name, amount, isExcess: true } };
    }
    const missing = Math.min(amount, quota.size) - level;
    return { ok: false, retryAfter: SECOND * missing / quota.rate };
  }

  /** Gives back what a request that didn't run was charged. */
  refund(charge: QuotaCharge): void {
    const { workspace, amount, isExcess } = charge;
    this.#take(isExcess ? `${workspace}${EXCESS_SUFFIX}` : workspace, -amount);
  }

  /** All that this process charged, by bucket. */
  spent(): Record<string, number> {
    return Object.fromEntries(this.#spent);
  }

  /**
   * Takes in what the other entries charged, as one of several sources counts
   * it, and what part of the quotas may be handed out.
   */
  learnOthers(
    source: string,
    options: {
      spent: Readonly<Record<string, number>>;
      share: number;
      /** Entries that share the quotas. */
      entries: number;
      now: Milliseconds;
    },
  ): void {
    this.#share = options.share;
    this.#entries = Math.max(1, options.entries);
    const elapsed = Math.max(1, options.now - this.#othersAt);
    this.#othersAt = options.now;
    const added = this.#learn(source, options.spent);
    for (const [name, bucket] of this.#buckets) {
      const spent = bucket.addedBetween + (added.get(name) ?? 0);
      bucket.othersPace = spent / elapsed;
      bucket.addedBetween = 0;
      bucket.takenSinceNews = 0;
    }
  }

  /** Takes in what a source tells beside the one that is asked for all. */
  learnBeside(source: string, spent: Readonly<Record<string, number>>): void {
    for (const [name, more] of this.#learn(source, spent)) {
      const bucket = this.#buckets.get(name);
      if (bucket !== undefined) {
        bucket.addedBetween += more;
      }
    }
  }

  #learn(
    source: string,
    spent: Readonly<Record<string, number>>,
  ): Map<string, number> {
    const added = this.#others.learn(source, spent);
    for (const [name, more] of added) {
      const bucket = this.#buckets.get(name);
      if (bucket !== undefined) {
        bucket.level -= more;
      }
    }
    return added;
  }

  /** Without news, only an even share may be handed out. */
  isolate(share: number): void {
    this.#share = share;
  }

  /** What is left, less what the others will have spent since the news. */
  #levelOf(terms: BucketTerms, now: Milliseconds): number {
    const bucket = this.#fill(terms, now);
    const silence = Math.min(MOST_FORECAST, now - this.#othersAt);
    return bucket.level - bucket.othersPace * silence;
  }

  /** What is left even if every other entry took as much as this one. */
  #cautiousLevelOf(terms: BucketTerms, now: Milliseconds): number {
    const bucket = this.#fill(terms, now);
    const alike = bucket.takenSinceNews * (this.#entries - 1);
    return Math.min(this.#levelOf(terms, now), bucket.level - alike);
  }

  #take(name: string, amount: number): void {
    const bucket = this.#buckets.get(name);
    if (bucket !== undefined) {
      bucket.level -= amount;
      bucket.takenSinceNews += amount;
    }
    this.#spent.set(name, (this.#spent.get(name) ?? 0) + amount);
  }

  #quotaTerms(workspace: Workspace): BucketTerms {
    return {
      name: workspace.name,
      size: workspace.burst,
      rate: workspace.rate * this.#share,
    };
  }

  #excessTerms(workspace: Workspace): BucketTerms {
    const { window, overshoot, tolerance } = this.#settings;
    const quota = workspace.rate * window / SECOND + workspace.burst;
    const tolerated = workspace.countsTokens ? tolerance : 0;
    const size = EXCESS_SHARE * (overshoot * quota + tolerated) * this.#share;
    return {
      name: `${workspace.name}${EXCESS_SUFFIX}`,
      size,
      rate: size * SECOND / window,
    };
  }

  #fill(terms: BucketTerms, now: Milliseconds): Bucket {
    const known = this.#buckets.get(terms.name);
    if (known === undefined) {
      const spent = this.#others.total(terms.name);
      const level = this.#settings.isFresh
        ? terms.size - spent
        : terms.size * RESTART_SHARE;
      const bucket = {
        level: Math.max(level, 0),
        filledAt: now,
        othersPace: 0,
        addedBetween: 0,
        takenSinceNews: 0,
      };
      this.#buckets.set(terms.name, bucket);
      return bucket;
    }
    const gained = (now - known.filledAt) / SECOND * terms.rate;
    known.level = Math.min(terms.size, known.level + gained);
    known.filledAt = now;
    return known;
  }
}
