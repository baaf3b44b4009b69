import type { Milliseconds } from "@heroncleat/base";
import type { Workspace } from "./workspace.ts";

/** How far the quotas may be overrun, and over which time. @public */
export type QuotaSettings = {
  /** Whether the whole system starts with this process, with empty buckets. */
  readonly isFresh: boolean;
  /** Time over which a workspace's spending is judged. */
  readonly window: Milliseconds;
  /** Part of the quota of a window that may be spent beyond it. */
  readonly overshoot: number;
  /** Tokens that may be spent beyond that in a window. */
  readonly tolerance: number;
};

/**
 * Part of the tolerated excess that a bucket may hold. The rest covers what
 * entries spend before they hear of each other.
 */
const TOLERANCE_SHARE = 0.4;

/** One workspace's token bucket as this entry sees it. */
type Bucket = { level: number; filledAt: Milliseconds };

/**
 * Quotas of workspaces shared by all entries without asking on each request.
 * Every entry holds a whole copy of each bucket, takes its own charges off at
 * once, and those of the others when news of them arrives. Entries that are
 * out of reach are taken to use an even share until they are heard again.
 *
 * @public
 */
export class WorkspaceQuota {
  readonly #buckets = new Map<string, Bucket>();
  readonly #spent = new Map<string, number>();
  #others = new Map<string, number>();
  #othersFrom = "";
  /** Share of the rate that this entry's side of the system may hand out. */
  #share = 1;
  readonly #settings: QuotaSettings;

  constructor(settings: QuotaSettings) {
    this.#settings = settings;
  }

  /** Charges a request, or says how long until it could be charged. */
  charge(
    workspace: Workspace,
    options: { amount: number; now: Milliseconds },
  ): { ok: true } | { ok: false; retryAfter: Milliseconds } {
    const { amount, now } = options;
    if (workspace.rate <= 0) {
      this.#count(workspace.name, amount);
      return { ok: true };
    }
    const bucket = this.#fill(workspace, now);
    if (bucket.level <= 0) {
      const rate = workspace.rate * this.#share;
      return { ok: false, retryAfter: 1000 * (1 - bucket.level) / rate };
    }
    bucket.level -= amount;
    this.#count(workspace.name, amount);
    return { ok: true };
  }

  /** Gives back what a request that didn't run was charged. */
  refund(workspace: Workspace, amount: number): void {
    const bucket = this.#buckets.get(workspace.name);
    if (bucket !== undefined) {
      bucket.level += amount;
    }
    this.#count(workspace.name, -amount);
  }

  /** All that this process charged, by workspace. */
  spent(): Record<string, number> {
    return Object.fromEntries(this.#spent);
  }

  /**
   * Takes in what the other entries charged so far, as one source counts it.
   * A new source only sets the mark from which later news counts.
   */
  learnOthers(
    source: string,
    options: {
      spent: Readonly<Record<string, number>>;
      share: number;
    },
  ): void {
    this.#share = options.share;
    const isKnown = source === this.#othersFrom;
    const before = this.#others;
    this.#othersFrom = source;
    this.#others = new Map(Object.entries(options.spent));
    if (!isKnown) {
      return;
    }
    for (const [name, total] of this.#others) {
      const bucket = this.#buckets.get(name);
      if (bucket !== undefined) {
        bucket.level -= Math.max(0, total - (before.get(name) ?? 0));
      }
    }
  }

  /** Without news, only an even share may be handed out. */
  isolate(share: number): void {
    this.#share = share;
    this.#othersFrom = "";
  }

  #count(name: string, amount: number): void {
    this.#spent.set(name, (this.#spent.get(name) ?? 0) + amount);
  }

  #fill(workspace: Workspace, now: Milliseconds): Bucket {
    const known = this.#buckets.get(workspace.name);
    if (known === undefined) {
      const spent = this.#others.get(workspace.name) ?? 0;
      const level = this.#settings.isFresh
        ? this.#capacityOf(workspace) - spent
        : 0;
      const bucket = { level: Math.max(level, 1), filledAt: now };
      this.#buckets.set(workspace.name, bucket);
      return bucket;
    }
    const seconds = (now - known.filledAt) / 1000;
    const gained = seconds * workspace.rate * this.#share;
    const capacity = this.#capacityOf(workspace) * this.#share;
    known.level = Math.min(capacity, known.level + gained);
    known.filledAt = now;
    return known;
  }

  /** Tokens that may be spent at once after a pause. */
  #capacityOf(workspace: Workspace): number {
    const { window, overshoot, tolerance } = this.#settings;
    const quota = workspace.rate * window / 1000 + workspace.burst;
    const excess = workspace.countsTokens ? tolerance : 0;
    return workspace.burst +
      TOLERANCE_SHARE * (overshoot * quota + excess);
  }
}
