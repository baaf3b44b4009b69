import type { QuotaCharge } from "./quota_charge.ts";
import type { Milliseconds } from "@heroncleat/base";
import { exchangeInterval } from "./exchange_interval.ts";
import { PeerCharges } from "./peer_charges.ts";
import { QuotaAccount } from "./quota_account.ts";
import type { QuotaLimit } from "./quota_limit.ts";
import { quotaLimits } from "./quota_limits.ts";
import type { QuotaSettings } from "./quota_settings.ts";
import type { Workspace } from "./workspace.ts";

/** Why a request can't be charged, in tokens and tokens a second. */
type QuotaRefusal = {
  readonly ok: false;
  readonly retryAfter: Milliseconds;
  /** What this entry takes to be left of a window's limit. */
  readonly left: number;
  readonly limit: number;
};

const SECOND: Milliseconds = 1000;
/**
 * Part of a window's limit that is taken to be spent when an entry restarts;
 * it counts less as that time passes out of the window. What the others spent
 * before isn't known, and several entries may restart at once.
 */
const RESTART_SPENT = 0.9;

/** Most of a bucket that a restarted entry starts with. */
const RESTART_LEVEL = 0.5;
/**
 * Part of the tolerated excess that all entries together may start with, if
 * all restart at once and none has known of the others.
 */
const RESTART_SHARE = 0.8;
/**
 * Time without an exchange for which the others are taken to spend as before;
 * after it this entry keeps to its own share. Exchanges are 150 to 600 ms
 * apart.
 */
const MOST_FORECAST: Milliseconds = 1000;
/** Time after which the sources of updates find out that an entry is silent. */
const FOUND_AFTER: Milliseconds = 600;
/**
 * Part of the tolerated excess by which one request may overdraw the bucket.
 * A bucket that is asked for more than its rate is nearly empty all the time;
 * without an overdraft it serves small requests only.
 */
const OVERDRAFT_SHARE = 0.2;

/**
 * Part of the tolerated excess that may be handed out twice while a minority
 * of the entries is out of reach and may be using its share. VMs without power
 * kept a quarter of every quota for 14 s; with 3 of 11 entries dark a simulated
 * load is served 0.78 of the rate, 0.75 without it.
 */
const SPARE_SHARE = 0.2;

/**
 * Part of what this entry took since the exchange that each other one is taken
 * to have taken too. Without it 11 entries that see room at the same moment
 * each spend it: windows of 40 simulated loads used up to 0.97 of what is
 * tolerated, 0.31 with it, at 0.1 spent on purpose.
 */
const ALIKE_SHARE = 0.5;
/**
 * Time whose refill bounds that: in the long run all take no more than comes
 * in, and with many entries a single request says little about the others.
 */
const ALIKE_OVER: Milliseconds = 600;

/**
 * Age up to which what others spent is taken as it is. Few entries exchange
 * every 150 ms and need no more.
 */
const FRESH_FOR: Milliseconds = 250;
/** Most that a workspace may come to ask for at once, as a part of its rate. */
const MOST_SURGE = 8;

/**
 * Quotas of workspaces shared by all entries without asking on each request.
 * Every entry counts what all entries spent in the last window: its own charges
 * at once, and those of the others when an exchange brings them. Entries that
 * are out of reach are taken to use an even share until they report again.
 *
 * A bucket of the burst refills by the rate; besides, the sum of any window is
 * bounded by what the bucket can give in it, whatever an entry missed or
 * counted wrongly before. A refill by the burst once a window, which the
 * window's sum alone would allow, overruns the tolerated sum, as an entry that
 * is cut off spends a second's share before it knows.
 *
 * What the quota covers is always served. A second limit of what is tolerated
 * beyond it serves some of the rest, so that requests beyond the quota never
 * take the place of those within.
 *
 * @public
 */
export class WorkspaceQuota {
  readonly #settings: QuotaSettings;
  readonly #accounts = new Map<string, QuotaAccount>();
  readonly #spent = new Map<string, number>();
  readonly #others: PeerCharges;
  #othersAt: Milliseconds = 0;
  #startedAt: Milliseconds | undefined;
  #entries = 1;
  /** Share of the rate that this entry's side of the system may hand out. */
  #share = 1;
  /** The share by which buckets were last refilled. */
  #refillShare = 1;

  constructor(settings: QuotaSettings) {
    this.#settings = settings;
    this.#others = new PeerCharges(settings.isFresh);
  }

  /** Charges a request, or says how long until it could be charged. */
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
    const left = this.#leftOf(quota, now);
    if (this.#covers(quota, { amount, left })) {
      this.#take(quota.name, amount, now);
      return { ok: true, charge: { workspace: name, amount, isExcess: false } };
    }
    const excess = quotaLimits.excess(workspace, {
      ...this.#settings,
      share: this.#share,
    });
    if (this.#cautiousLeftOf(excess, now) >= amount) {
      this.#take(excess.name, amount, now);
      return { ok: true, charge: { workspace: name, amount, isExcess: true } };
    }
    const retryAfter = this.#timeUntil(quota, { amount, left, now });
    return { ok: false, retryAfter, left, limit: quota.tokens };
  }

  /**
   * Whether a request should wait for an exchange before it is charged: what is
   * known of the others is old, and they may have spent what is left since.
   */
  isOutdated(
    workspace: Workspace,
    options: { amount: number; now: Milliseconds },
  ): boolean {
    const { amount, now } = options;
    const age = now - this.#othersAt;
    if (workspace.rate <= 0 || !this.#isFarApart || age <= FRESH_FOR) {
      return false;
    }
    const quota = quotaLimits.quota(workspace, this.#settings);
    const surge = MOST_SURGE * workspace.rate * age / SECOND;
    return this.#leftOf(quota, now) < amount + surge;
  }

  /** Whether the others should learn of a charge before the next exchange. */
  isReportDue({ amount, workspace }: QuotaCharge): boolean {
    return amount > 0 && this.#isFarApart &&
      this.#accounts.has(workspace);
  }

  /** Whether there are so many entries that each exchanges seldom. */
  get #isFarApart(): boolean {
    return exchangeInterval.full(this.#entries) > FRESH_FOR;
  }

  /** Gives back what a request that didn't run was charged. */
  refund(charge: QuotaCharge, now: Milliseconds): void {
    const { workspace, amount, isExcess } = charge;
    const name = isExcess ? quotaLimits.excessName(workspace) : workspace;
    this.#take(name, -amount, now);
  }

  /** All that this process charged, by limit. */
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
    this.#entries = Math.max(1, options.entries);
    const before = this.#refillAll(options.now);
    const elapsed = Math.max(0, options.now - this.#othersAt);
    const receivedBefore = this.#othersAt;
    this.#othersAt = options.now;
    const added = this.#learn(source, options.spent, options.now);
    for (const [name, account] of this.#accounts) {
      account.notePace(added.get(name) ?? 0, elapsed);
    }
    this.#setShare(before, {
      share: options.share,
      receivedBefore,
      now: options.now,
    });
  }

  /** Takes in what a source reports beside the one that is asked for all. */
  learnBeside(
    source: string,
    spent: Readonly<Record<string, number>>,
    now: Milliseconds,
  ): void {
    for (const [name, more] of this.#learn(source, spent, now)) {
      this.#accountOf(name).noteBetween(more);
    }
  }

  #learn(
    source: string,
    spent: Readonly<Record<string, number>>,
    now: Milliseconds,
  ): Map<string, number> {
    this.#startedAt ??= now;
    const added = this.#others.merge(source, spent);
    for (const [name, more] of added) {
      this.#accountOf(name).spend(more, now);
    }
    return added;
  }

  /** Without an exchange, only an even share may be handed out. */
  isolate(share: number, now: Milliseconds): void {
    const before = this.#refillAll(now);
    this.#setShare(before, { share, receivedBefore: this.#othersAt, now });
  }

  /** Refills all buckets, and says by what share. */
  #refillAll(now: Milliseconds): number {
    const share = this.#noteShare(now);
    for (const account of this.#accounts.values()) {
      account.refill(now, share);
    }
    return share;
  }

  /** Takes in what part of the quotas is surely not spent out of reach. */
  #setShare(
    before: number,
    updates: { share: number; receivedBefore: Milliseconds; now: Milliseconds },
  ): void {
    const { share, receivedBefore, now } = updates;
    if (share < before) {
      this.#takeBack({ before, after: share }, { since: receivedBefore, now });
    }
    if (share > before) {
      const part = (share - before) / (1 - before);
      for (const account of this.#accounts.values()) {
        account.noteReturn(part);
      }
    }
    this.#share = share;
    this.#refillShare = share;
  }

  /** The share that may be handed out now; what was too much is taken back. */
  #noteShare(now: Milliseconds): number {
    const share = this.#shareAt(now);
    const before = this.#refillShare;
    this.#refillShare = share;
    if (share < before) {
      const since = this.#othersAt;
      this.#takeBack({ before, after: share }, { since, now });
    }
    return share;
  }

  #takeBack(
    shares: { before: number; after: number },
    span: { since: Milliseconds; now: Milliseconds },
  ): void {
    // Who went out of reach reported for the last time before the exchange that
    // didn't know it yet.
    const since = span.since - FOUND_AFTER;
    for (const account of this.#accounts.values()) {
      account.takeBack(shares, { since, now: span.now });
    }
  }

  #shareAt(now: Milliseconds): number {
    const isSilent = now - this.#othersAt > MOST_FORECAST;
    return isSilent ? Math.min(this.#share, 1 / this.#entries) : this.#share;
  }

  /** Whether what is left covers a request, or all but the overdraft of it. */
  #covers(
    limit: QuotaLimit,
    options: { amount: number; left: number },
  ): boolean {
    const { amount, left } = options;
    const overdraft = OVERDRAFT_SHARE * limit.tolerated * this.#share;
    return left > 0 && left + overdraft >= Math.min(amount, limit.burst);
  }

  /** What is left, less what the others will have spent since the exchange. */
  #leftOf(limit: QuotaLimit, now: Milliseconds): number {
    const account = this.#accountOf(limit.name);
    const silence = Math.min(MOST_FORECAST, now - this.#othersAt);
    return Math.min(
      this.#fill(account, limit, now),
      limit.tokens - account.window.sum(now) - this.#unknownOf(limit, now),
    ) - Math.max(account.forecast(silence), this.#alike(account, limit));
  }

  /**
   * What the others took since the exchange, if callers ask them like this one.
   */
  #alike(account: QuotaAccount, limit: QuotaLimit): number {
    return Math.min(
      ALIKE_SHARE * account.takenSinceSync * (this.#entries - 1),
      limit.rate * ALIKE_OVER / SECOND,
    );
  }

  /** Time until both the bucket and the window cover an amount. */
  #timeUntil(
    limit: QuotaLimit,
    options: { amount: number; left: number; now: Milliseconds },
  ): Milliseconds {
    const { amount, left, now } = options;
    const missing = Math.min(amount, limit.burst) - left;
    const bound = Math.max(0, limit.tokens - amount);
    const { window } = this.#accountOf(limit.name);
    return Math.max(
      missing * SECOND / (limit.rate * this.#share),
      window.timeUntil(bound, now),
    );
  }

  #fill(account: QuotaAccount, limit: QuotaLimit, now: Milliseconds): number {
    if (!account.isOpen) {
      account.open(this.#startLevel(account, limit, now), now);
    }
    const { burst, rate, tolerated } = limit;
    const inWindow = rate * this.#settings.window / SECOND;
    const spare = inWindow > 0 ? SPARE_SHARE * tolerated / inWindow : 0;
    account.follow({ burst, rate, spare });
    account.refill(now, this.#noteShare(now));
    return account.level;
  }

  #startLevel(
    account: QuotaAccount,
    limit: QuotaLimit,
    now: Milliseconds,
  ): number {
    const { burst, tolerated } = limit;
    if (this.#settings.isFresh) {
      const rate = limit.rate / SECOND;
      return account.window.replay({ burst, rate }, now);
    }
    return Math.min(
      burst * RESTART_LEVEL,
      tolerated * RESTART_SHARE / this.#entries,
    );
  }

  /** What is left even if every other entry took as much as this one. */
  #cautiousLeftOf(limit: QuotaLimit, now: Milliseconds): number {
    const account = this.#accountOf(limit.name);
    const alike = account.takenSinceSync * (this.#entries - 1);
    return Math.min(
      this.#leftOf(limit, now),
      this.#fill(account, limit, now) - alike,
    );
  }

  /** What may have been spent in this window before this process started. */
  #unknownOf(limit: QuotaLimit, now: Milliseconds): number {
    if (this.#settings.isFresh) {
      return 0;
    }
    const known = (now - (this.#startedAt ?? now)) / this.#settings.window;
    return limit.tokens * RESTART_SPENT * Math.max(0, 1 - known);
  }

  #take(name: string, amount: number, now: Milliseconds): void {
    const account = this.#accountOf(name);
    account.spend(amount, now);
    account.takenSinceSync += amount;
    this.#spent.set(name, (this.#spent.get(name) ?? 0) + amount);
  }

  #accountOf(name: string): QuotaAccount {
    const known = this.#accounts.get(name);
    if (known !== undefined) {
      return known;
    }
    const account = new QuotaAccount(this.#settings.window);
    this.#accounts.set(name, account);
    return account;
  }
}
