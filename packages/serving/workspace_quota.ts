import type { QuotaCharge } from "./quota_charge.ts";
import type { Milliseconds } from "@heroncleat/base";
import { exchangeInterval } from "./exchange_interval.ts";
import { PeerCharges } from "./peer_charges.ts";
import { QuotaAccount } from "./quota_account.ts";
import type { QuotaLimit } from "./quota_limit.ts";
import { quotaLimits } from "./quota_limits.ts";
import type { QuotaSettings } from "./quota_settings.ts";
import type { Workspace } from "./workspace.ts";

/** Refusal of a charge. */
type QuotaRefusal = {
  readonly ok: false;
  readonly retryAfter: Milliseconds;
  /** Estimated tokens remaining in the window. */
  readonly remaining: number;
  /** Tokens of the window's quota. */
  readonly limit: number;
};

const SECOND: Milliseconds = 1000;
/**
 * Share of a window's limit that is assumed spent when an entry restarts, as
 * earlier charges are unknown and several entries may restart at once. It
 * decreases to 0 over one window.
 */
const RESTART_SPENT_SHARE = 0.9;

/** Maximum share of a bucket's capacity that a restarted entry starts with. */
const RESTART_LEVEL_SHARE = 0.5;
/**
 * Maximum share of the tolerated excess that the initial levels of all entries
 * add up to if they restart at once.
 */
const RESTART_EXCESS_SHARE = 0.8;
/**
 * Time without an exchange for which the other entries are assumed to spend at
 * the same rate. After it this entry keeps to its own share. Exchanges are 150 to
 * 600 ms apart.
 */
const MAX_FORECAST_TIME: Milliseconds = 1000;
/** Time after which control replicas detect an unresponsive entry. */
const TIMEOUT_DETECTION_TIME: Milliseconds = 600;
/**
 * Share of the tolerated excess by which one request may overdraw the bucket.
 * Without an overdraft, an overloaded bucket is nearly always empty and serves
 * only small requests.
 */
const OVERDRAFT_SHARE = 0.2;

/**
 * Share of the tolerated excess that the majority may use of the refill of an
 * unreachable minority, which may be using it too. Without it, VMs that had lost
 * power withheld a quarter of every quota for 14 s.
 */
const SPARE_SHARE = 0.2;

/**
 * Share of this entry's consumption since the last exchange that each other
 * entry is assumed to have consumed too, so that they don't all spend the
 * remaining quota at once.
 */
const SIMILAR_PEER_SHARE = 0.5;
/**
 * Time whose refill bounds the assumed consumption of the other entries. With
 * many entries, a single request says little about the others.
 */
const SIMILAR_PEER_WINDOW: Milliseconds = 600;

/**
 * Age up to which the charges of the other entries count as current. Few entries
 * exchange every 150 ms and need no forecast.
 */
const FRESHNESS_WINDOW: Milliseconds = 250;
/** Assumed maximum demand of a workspace as a multiple of its rate. */
const MAX_SURGE_FACTOR = 8;

/**
 * Quotas of workspaces, shared by all entries without coordination per request.
 * A token bucket and a sliding window bound them; beyond, requests are served
 * from the tolerated excess only.
 *
 * @public
 */
export class WorkspaceQuota {
  readonly #settings: QuotaSettings;
  readonly #accounts = new Map<string, QuotaAccount>();
  readonly #chargedTotals = new Map<string, number>();
  readonly #peerCharges: PeerCharges;
  #syncedAt: Milliseconds = 0;
  #startedAt: Milliseconds | undefined;
  #entryCount = 1;
  /** Share of the rate that this entry's side of a partition may use. */
  #share = 1;
  /** Share that the last refill of the buckets used. */
  #refillShare = 1;

  constructor(settings: QuotaSettings) {
    this.#settings = settings;
    this.#peerCharges = new PeerCharges(settings.isFresh);
  }

  /** Charges a request, or returns the time until it could be charged. */
  charge(
    workspace: Workspace,
    options: { amount: number; now: Milliseconds },
  ):
    | { ok: true; charge: QuotaCharge }
    | QuotaRefusal {
    const { amount, now } = options;
    const { name } = workspace;
    if (workspace.rate <= 0) {
      return { ok: true, charge: { workspace: name, amount, isExcess: false } };
    }
    this.#startedAt ??= now;
    const quota = quotaLimits.quota(workspace, this.#settings);
    const remaining = this.#remainingOf(quota, now);
    if (this.#covers(quota, { amount, remaining })) {
      this.#record(quota.name, amount, now);
      return { ok: true, charge: { workspace: name, amount, isExcess: false } };
    }
    const excess = quotaLimits.excess(workspace, {
      ...this.#settings,
      share: this.#share,
    });
    if (this.#conservativeRemainingOf(excess, now) >= amount) {
      this.#record(excess.name, amount, now);
      return { ok: true, charge: { workspace: name, amount, isExcess: true } };
    }
    const retryAfter = this.#timeUntil(quota, {
      amount,
      remaining,
      now,
    });
    return { ok: false, retryAfter, remaining, limit: quota.tokens };
  }

  /**
   * Whether a request should wait for an exchange before it is charged: the
   * charges of the other entries are old, and these may have consumed the
   * remaining quota since.
   */
  isStale(
    workspace: Workspace,
    options: { amount: number; now: Milliseconds },
  ): boolean {
    const { amount, now } = options;
    const age = now - this.#syncedAt;
    if (
      workspace.rate <= 0 || !this.#hasLongExchangePause ||
      age <= FRESHNESS_WINDOW
    ) {
      return false;
    }
    const quota = quotaLimits.quota(workspace, this.#settings);
    const surge = MAX_SURGE_FACTOR * workspace.rate * age / SECOND;
    return this.#remainingOf(quota, now) < amount + surge;
  }

  /**
   * Whether to report a charge to the other entries before the next exchange.
   */
  isReportDue({ amount, workspace }: QuotaCharge): boolean {
    return amount > 0 && this.#hasLongExchangePause &&
      this.#accounts.has(workspace);
  }

  /**
   * Whether the pause between exchanges, which grows with the entries, is long.
   */
  get #hasLongExchangePause(): boolean {
    return exchangeInterval.full(this.#entryCount) > FRESHNESS_WINDOW;
  }

  /** Refunds the charge of a request that didn't run. */
  refund(charge: QuotaCharge, now: Milliseconds): void {
    const { workspace, amount, isExcess } = charge;
    const name = isExcess ? quotaLimits.excessName(workspace) : workspace;
    this.#record(name, -amount, now);
  }

  /** Total charges of this process, by limit. */
  spent(): Record<string, number> {
    return Object.fromEntries(this.#chargedTotals);
  }

  /**
   * Applies a full exchange: the charges of the other entries as reported by
   * one of several sources, and the usable share of the quotas.
   */
  applyCharges(
    source: string,
    options: {
      spent: Readonly<Record<string, number>>;
      share: number;
      /** Number of entries that share the quotas. */
      entries: number;
      now: Milliseconds;
    },
  ): void {
    this.#entryCount = Math.max(1, options.entries);
    const before = this.#refillAll(options.now);
    const elapsed = Math.max(0, options.now - this.#syncedAt);
    const receivedBefore = this.#syncedAt;
    this.#syncedAt = options.now;
    const added = this.#merge(source, options.spent, options.now);
    for (const [name, account] of this.#accounts) {
      account.recordRate(added.get(name) ?? 0, elapsed);
    }
    this.#setShare(before, {
      share: options.share,
      receivedBefore,
      now: options.now,
    });
  }

  /**
   * Applies the charges reported by a source other than that of full exchanges.
   */
  applySecondaryCharges(
    source: string,
    spent: Readonly<Record<string, number>>,
    now: Milliseconds,
  ): void {
    for (const [name, amount] of this.#merge(source, spent, now)) {
      this.#accountOf(name).recordSecondaryCharges(amount);
    }
  }

  #merge(
    source: string,
    spent: Readonly<Record<string, number>>,
    now: Milliseconds,
  ): Map<string, number> {
    this.#startedAt ??= now;
    const added = this.#peerCharges.merge(source, spent);
    for (const [name, amount] of added) {
      this.#accountOf(name).spend(amount, now);
    }
    return added;
  }

  /** Limits the usable share of the quotas while no exchange is possible. */
  isolate(share: number, now: Milliseconds): void {
    const before = this.#refillAll(now);
    this.#setShare(before, { share, receivedBefore: this.#syncedAt, now });
  }

  /** Refills all buckets and returns the share that was used. */
  #refillAll(now: Milliseconds): number {
    const share = this.#refreshShare(now);
    for (const account of this.#accounts.values()) {
      account.refill(now, share);
    }
    return share;
  }

  /**
   * Sets the share of the quotas that unreachable entries can't be spending.
   */
  #setShare(
    before: number,
    updates: { share: number; receivedBefore: Milliseconds; now: Milliseconds },
  ): void {
    const { share, receivedBefore, now } = updates;
    if (share < before) {
      this.#revokeRefill({ before, after: share }, {
        since: receivedBefore,
        now,
      });
    }
    if (share > before) {
      const returnedShare = (share - before) / (1 - before);
      for (const account of this.#accounts.values()) {
        account.restoreRefill(returnedShare);
      }
    }
    this.#share = share;
    this.#refillShare = share;
  }

  /** Returns the usable share; revokes excess refill if it has decreased. */
  #refreshShare(now: Milliseconds): number {
    const share = this.#shareAt(now);
    const before = this.#refillShare;
    this.#refillShare = share;
    if (share < before) {
      const since = this.#syncedAt;
      this.#revokeRefill({ before, after: share }, { since, now });
    }
    return share;
  }

  #revokeRefill(
    shares: { before: number; after: number },
    span: { since: Milliseconds; now: Milliseconds },
  ): void {
    // An unreachable entry sent its last report before the exchange that didn't
    // detect its timeout yet.
    const since = span.since - TIMEOUT_DETECTION_TIME;
    for (const account of this.#accounts.values()) {
      account.revokeRefill(shares, { since, now: span.now });
    }
  }

  #shareAt(now: Milliseconds): number {
    const isOverdue = now - this.#syncedAt > MAX_FORECAST_TIME;
    return isOverdue
      ? Math.min(this.#share, 1 / this.#entryCount)
      : this.#share;
  }

  /** Whether the remaining quota and the overdraft cover a request. */
  #covers(
    limit: QuotaLimit,
    options: { amount: number; remaining: number },
  ): boolean {
    const { amount, remaining } = options;
    const overdraft = OVERDRAFT_SHARE * limit.toleratedExcess * this.#share;
    return remaining > 0 &&
      remaining + overdraft >= Math.min(amount, limit.burst);
  }

  /**
   * Remaining quota, less the expected charges of others since the exchange.
   */
  #remainingOf(limit: QuotaLimit, now: Milliseconds): number {
    const account = this.#accountOf(limit.name);
    const elapsed = Math.min(MAX_FORECAST_TIME, now - this.#syncedAt);
    return Math.min(
      this.#refilledLevel(account, limit, now),
      limit.tokens - account.window.sum(now) -
        this.#estimateUnknown(limit, now),
    ) -
      Math.max(
        account.forecast(elapsed),
        this.#estimateSimilarPeers(account, limit),
      );
  }

  /**
   * Consumption of the others since the exchange, if similar to this entry's.
   */
  #estimateSimilarPeers(account: QuotaAccount, limit: QuotaLimit): number {
    return Math.min(
      SIMILAR_PEER_SHARE * account.consumedSinceSync * (this.#entryCount - 1),
      limit.rate * SIMILAR_PEER_WINDOW / SECOND,
    );
  }

  /** Time until both the bucket and the window cover an amount. */
  #timeUntil(
    limit: QuotaLimit,
    options: { amount: number; remaining: number; now: Milliseconds },
  ): Milliseconds {
    const { amount, remaining, now } = options;
    const missing = Math.min(amount, limit.burst) - remaining;
    const bound = Math.max(0, limit.tokens - amount);
    const { window } = this.#accountOf(limit.name);
    return Math.max(
      missing * SECOND / (limit.rate * this.#share),
      window.timeUntil(bound, now),
    );
  }

  #refilledLevel(
    account: QuotaAccount,
    limit: QuotaLimit,
    now: Milliseconds,
  ): number {
    if (!account.isOpen) {
      account.openBucket(this.#initialLevel(account, limit, now), now);
    }
    const { burst, rate, toleratedExcess } = limit;
    const refillPerWindow = rate * this.#settings.window / SECOND;
    const spareShare = refillPerWindow > 0
      ? SPARE_SHARE * toleratedExcess / refillPerWindow
      : 0;
    account.updateLimit({ burst, rate, spareShare });
    account.refill(now, this.#refreshShare(now));
    return account.level;
  }

  #initialLevel(
    account: QuotaAccount,
    limit: QuotaLimit,
    now: Milliseconds,
  ): number {
    const { burst, toleratedExcess } = limit;
    if (this.#settings.isFresh) {
      const rate = limit.rate / SECOND;
      return account.window.replayBucket({ burst, rate }, now);
    }
    return Math.min(
      burst * RESTART_LEVEL_SHARE,
      toleratedExcess * RESTART_EXCESS_SHARE / this.#entryCount,
    );
  }

  /** Remaining quota even if every other entry consumed as much as this one. */
  #conservativeRemainingOf(limit: QuotaLimit, now: Milliseconds): number {
    const account = this.#accountOf(limit.name);
    const peerConsumption = account.consumedSinceSync * (this.#entryCount - 1);
    return Math.min(
      this.#remainingOf(limit, now),
      this.#refilledLevel(account, limit, now) - peerConsumption,
    );
  }

  /**
   * Tokens that may have been spent in this window before the process started.
   */
  #estimateUnknown(limit: QuotaLimit, now: Milliseconds): number {
    if (this.#settings.isFresh) {
      return 0;
    }
    const observedShare = (now - (this.#startedAt ?? now)) /
      this.#settings.window;
    return limit.tokens * RESTART_SPENT_SHARE * Math.max(0, 1 - observedShare);
  }

  #record(name: string, amount: number, now: Milliseconds): void {
    const account = this.#accountOf(name);
    account.spend(amount, now);
    account.consumedSinceSync += amount;
    this.#chargedTotals.set(
      name,
      (this.#chargedTotals.get(name) ?? 0) + amount,
    );
  }

  #accountOf(name: string): QuotaAccount {
    const existing = this.#accounts.get(name);
    if (existing !== undefined) {
      return existing;
    }
    const account = new QuotaAccount(this.#settings.window);
    this.#accounts.set(name, account);
    return account;
  }
}
