import {
  type Clock,
  createRecord,
  type Milliseconds,
  ownValue,
} from "@heroncleat/base";
import {
  exchangeInterval,
  type FollowedShares,
  type KnownEntry,
  median,
  type ReplicaList,
  STREAM_RETENTION,
  type SyncReply,
  type SyncRequest,
} from "@heroncleat/serving";
import type { PeerPool } from "@heroncleat/transport";
import type { Log } from "../../common/log.ts";
import type { ControlLink } from "./control_link.ts";
import { createControlLink } from "./create_control_link.ts";
import { exchangeSchedule } from "./exchange_schedule.ts";
import type { FeedPosition } from "./feed_position.ts";
import { applyEntryList } from "./apply_entry_list.ts";
import { ViewConfirmation } from "./view_confirmation.ts";

const SYNC_TIMEOUT: Milliseconds = 800;
/**
 * Time after which a replica that neither replies nor is listed by another is
 * dropped.
 */
const FORGET_TIMEOUT: Milliseconds = 20_000;
/** Longest time that a caller's request waits for an exchange. */
const REFRESH_TIMEOUT: Milliseconds = 100;
/**
 * Width of the random variation of the polling interval, as a share of it. It
 * keeps entries from polling in lockstep.
 */
const JITTER = 0.2;

type LinkOptions = {
  readonly pool: PeerPool;
  readonly clock: Clock;
  readonly log: Log;
  /**
   * Whether an entry that a replica lists can be used.
   *
   * @param from host:port of the replica.
   */
  readonly isUsableEntry: (entry: KnownEntry, from: string) => boolean;
  /** host:port of replicas to contact while none is reachable. */
  readonly seeds: () => readonly string[];
  readonly createRequest: (position: FeedPosition) => SyncRequest;
  readonly onReply: (
    reply: SyncReply,
    source: {
      /** host:port of the replica that replied. */
      readonly from: string;
      /** Time since the exchange began. */
      readonly transit: Milliseconds;
    },
  ) => void;
  /**
   * Whether requests can't be served until a reply contains a configuration.
   */
  readonly isAwaitingConfiguration: () => boolean;
  /** Returns a number from 0 to 1. */
  readonly random: () => number;
  /** Called with the shares of the upstreams that this entry follows. */
  readonly onFollow: (shares: FollowedShares) => void;
  /** Own revision of the suspect registry. */
  readonly suspectRevision: () => number;
  /** Called once when no replica is reachable. */
  readonly onIsolated: () => void;
};

/**
 * Exchanges state with every control replica. Updates arrive as long as one path
 * is open. The leader, if it is reachable, is the primary of all entries and
 * relays the loads that they share.
 */
export class ControlLinks {
  readonly #options: LinkOptions;
  readonly #links = new Map<string, ControlLink>();
  #primary = "";
  /** When a replica that had replied was last dropped. */
  #forgottenAt: Milliseconds = -Infinity;
  /** Entries listed by any reachable replica; undefined when outdated. */
  #mergedEntries: readonly KnownEntry[] | undefined;
  #timer: NodeJS.Timeout | undefined;
  #wasIsolated = false;
  #isStopped = false;
  readonly #confirmation: ViewConfirmation;

  constructor(options: LinkOptions) {
    this.#options = options;
    this.#confirmation = new ViewConfirmation({
      clock: options.clock,
      links: () => this.#links.values(),
      mayBeCurrent: () => this.#mayBeCurrent(),
      exchangeWithAll: () => this.reportToAll(),
      pause: () => exchangeInterval.confirmation(this.#entryCount),
    });
  }

  start(): void {
    this.#poll();
  }

  stop(): void {
    this.#isStopped = true;
    clearTimeout(this.#timer);
    this.#confirmation.stop();
  }

  /** Starts an exchange with every replica, also where one is in flight. */
  exchangeWithAll(): void {
    for (const link of this.#listLinks()) {
      this.#startExchange(link);
    }
  }

  /**
   * Exchanges with the primary. Resolves when it replied or after a timeout.
   */
  async refresh(): Promise<void> {
    const link = this.#links.get(this.#primary);
    if (link === undefined) {
      return;
    }
    const ongoingExchange = link.ongoingExchange ?? this.#startExchange(link);
    let timer: NodeJS.Timeout | undefined;
    const timeout = new Promise<void>((resolve) => {
      timer = setTimeout(resolve, REFRESH_TIMEOUT);
    });
    await Promise.race([ongoingExchange, timeout]);
    clearTimeout(timer);
  }

  /**
   * Calls a method of the primary; undefined if there is none or it doesn't
   * reply within a short time.
   */
  async callPrimary(method: string, parameters: unknown): Promise<unknown> {
    if (this.#primary === "") {
      return undefined;
    }
    try {
      return await this.#options.pool.call(this.#primary, method, {
        parameters,
        timeout: REFRESH_TIMEOUT,
      });
    } catch {
      // Logged when the replica becomes unreachable.
      return undefined;
    }
  }

  /** Exchanges with the primary now, or after the exchange in flight. */
  reportToPrimary(): void {
    const link = this.#links.get(this.#primary);
    if (link?.ongoingExchange !== undefined) {
      link.isExchangeQueued = true;
    } else if (link !== undefined) {
      this.#startExchange(link);
    }
  }

  /** Exchanges with all replicas now, or after the exchange in flight. */
  reportToAll(): void {
    for (const link of this.#listLinks()) {
      if (link.ongoingExchange === undefined) {
        this.#startExchange(link);
      } else {
        link.isExchangeQueued = true;
      }
    }
  }

  /** Whether any replica is reachable. */
  get isConnected(): boolean {
    return exchangeSchedule.isConnected(
      this.#links.values(),
      this.#options.clock.steady(),
    );
  }

  /**
   * Whether all replicas reply to requests that are sent from now on, so that
   * this entry has heard of all versions that were in use by now.
   */
  confirmCurrent(): Promise<boolean> {
    return this.#confirmation.confirm();
  }

  /** A replica that was dropped may go on listing versions to other entries. */
  #mayBeCurrent(): boolean {
    const view = this.#view();
    return view.now - this.#forgottenAt > STREAM_RETENTION &&
      exchangeSchedule.mayBeCurrent(view);
  }

  /** host:port of the replicas that have replied. */
  get replicas(): readonly string[] {
    return this.#listLinks()
      .filter(({ receivedAt }) => receivedAt > 0)
      .map(({ address }) => address);
  }

  /** Time since the newest reply of any replica. */
  get syncAge(): Milliseconds {
    const receivedTimes = this.#listLinks().map((link) => link.receivedAt);
    return this.#options.clock.steady() - Math.max(0, ...receivedTimes);
  }

  /** Lists the entries that callers may be sent to. */
  listEntries(): readonly KnownEntry[] {
    for (const link of this.#links.values()) {
      this.#updateReachability(link);
    }
    this.#mergedEntries ??= this.#mergeEntryLists();
    return this.#mergedEntries;
  }

  /**
   * Merges the lists of all reachable replicas. Of many entries the primary
   * alone knows soon which have stopped.
   */
  #mergeEntryLists(): KnownEntry[] {
    const entries = new Map<string, KnownEntry>();
    const primary = this.#links.get(this.#primary);
    const links =
      primary !== undefined && exchangeInterval.isScaled(this.#entryCount)
        ? [primary]
        : this.#links.values();
    for (const link of links) {
      for (const [name, entry] of link.isLost ? [] : link.entries) {
        entries.set(name, entry);
      }
    }
    return [...entries.values()];
  }

  /**
   * Returns the Unix time at a monotonic time: the median of the replicas'
   * clocks, or the local clock if no replica is reachable.
   */
  trueTime(now: Milliseconds): Milliseconds {
    const offsets: Milliseconds[] = [];
    for (const link of this.#links.values()) {
      if (link.wallOffset !== undefined && this.#isReachable(link)) {
        offsets.push(link.wallOffset);
      }
    }
    const offset = median(offsets);
    return offset === undefined ? this.#options.clock.wall() : now + offset;
  }

  #listLinks(): ControlLink[] {
    return [...this.#links.values()];
  }

  #isReachable(link: ControlLink): boolean {
    return exchangeSchedule.isReachable(link, this.#view());
  }

  #view() {
    return {
      links: this.#listLinks(),
      primary: this.#primary,
      now: this.#options.clock.steady(),
    };
  }

  #poll(): void {
    this.#startDueExchanges();
    if (!this.#isStopped) {
      const jitter = 1 + JITTER * (this.#options.random() - 0.5);
      this.#timer = setTimeout(() => this.#poll(), this.#pollInterval * jitter);
    }
  }

  get #pollInterval(): Milliseconds {
    return this.#options.isAwaitingConfiguration()
      ? exchangeInterval.initial(this.#entryCount)
      : exchangeInterval.check(this.#entryCount);
  }

  get #entryCount(): number {
    return exchangeSchedule.countEntries(this.#view());
  }

  #startDueExchanges(): void {
    const now = this.#options.clock.steady();
    this.#choosePrimary();
    if (!this.isConnected || this.#links.size === 0) {
      for (const address of this.#options.seeds()) {
        this.#addReplica(address, now);
      }
    }
    // While no replica is reachable, known replicas are kept: the seeds may
    // have been replaced.
    const mayForget = this.isConnected;
    const isUndivided = exchangeSchedule.isUndivided(this.#view());
    for (const link of this.#listLinks()) {
      this.#updateReachability(link);
      const unseenFor = now - Math.max(link.receivedAt, link.listedAt);
      if (mayForget && unseenFor > FORGET_TIMEOUT) {
        this.#links.delete(link.address);
        this.#forgottenAt = link.feed === "" ? this.#forgottenAt : now;
        this.#mergedEntries = undefined;
      } else if (
        link.ongoingExchange === undefined &&
        this.#isDue(link, { now, isUndivided })
      ) {
        this.#startExchange(link);
      }
    }
  }

  #isDue(
    link: ControlLink,
    { now, isUndivided }: { now: Milliseconds; isUndivided: boolean },
  ): boolean {
    if (this.#options.isAwaitingConfiguration() && this.#isPolled(link)) {
      return now - link.requestedAt >= this.#pollInterval / 2;
    }
    const interval = exchangeSchedule.intervalOf(link, {
      primary: this.#primary,
      now,
      otherReplicas: this.#links.size - 1,
      isUndivided,
    });
    // Polling is jittered, so an exchange may start half an interval early.
    return now - link.requestedAt >= interval - this.#pollInterval / 2;
  }

  /**
   * Whether a replica is polled for the first configuration. All replicas have
   * it within milliseconds, so many entries poll the primary only.
   */
  #isPolled({ address }: ControlLink): boolean {
    return this.#primary === "" || address === this.#primary ||
      !exchangeInterval.isScaled(this.#entryCount);
  }

  #choosePrimary(): void {
    const reachable = this.#listLinks().filter((link) =>
      this.isConnected && this.#isReachable(link)
    );
    const healthy = reachable.filter(({ hasFailed }) => !hasFailed);
    const next = healthy.find(({ isLeading }) => isLeading) ??
      healthy.find(({ address }) => address === this.#primary) ??
      healthy[0] ?? reachable[0];
    this.#setPrimary(next?.address ?? "");
    if (next !== undefined) {
      this.#wasIsolated = false;
    } else if (!this.#wasIsolated) {
      this.#wasIsolated = true;
      this.#options.onIsolated();
    }
  }

  /**
   * Resets the revisions of the loads, which are only exchanged with the
   * primary.
   */
  #setPrimary(address: string): void {
    if (address === this.#primary) {
      return;
    }
    this.#primary = address;
    this.#mergedEntries = undefined;
    for (const link of this.#links.values()) {
      link.loadsSince = 0;
    }
  }

  #updateReachability(link: ControlLink): void {
    const isLost = !this.#isReachable(link);
    if (isLost !== link.isLost) {
      link.isLost = isLost;
      this.#mergedEntries = undefined;
      const { log } = this.#options;
      const context = { address: link.address };
      if (isLost) {
        log.warn("Lost a control replica", context);
      } else {
        log.info("Connected to a control replica", context);
      }
    }
  }

  #addReplica(address: string, now: Milliseconds): void {
    const existing = this.#links.get(address);
    if (existing !== undefined) {
      existing.listedAt = now;
      return;
    }
    this.#links.set(address, createControlLink(address, now));
  }

  /** Starts an exchange. The promise resolves whether or not it succeeds. */
  #startExchange(link: ControlLink): Promise<void> {
    link.isExchangeQueued = false;
    const ongoingExchange = this.#exchange(link).then(() => {
      if (link.ongoingExchange !== ongoingExchange) {
        return;
      }
      link.ongoingExchange = undefined;
      if (link.isExchangeQueued && !this.#isStopped) {
        this.#startExchange(link);
      }
    });
    link.ongoingExchange = ongoingExchange;
    return ongoingExchange;
  }

  async #exchange(link: ControlLink): Promise<void> {
    const { pool, clock } = this.#options;
    const requestedAt = clock.steady();
    link.requestedAt = requestedAt;
    const suspectsSentRevision = this.#options.suspectRevision();
    let reply: SyncReply | ReplicaList;
    try {
      reply = await pool.call(link.address, "hub.sync", {
        parameters: this.#options.createRequest({
          feed: link.feed,
          revision: link.revision,
          followed: link.followed,
          isPrimary: link.address === this.#primary,
          loadsSince: link.loadsSince,
          suspectsSentRevision: link.suspectsSentRevision,
          report: link.report,
        }),
        timeout: SYNC_TIMEOUT,
      }) as SyncReply | ReplicaList;
    } catch {
      // Logged only when the replica becomes unreachable.
      this.#recordFailure(link);
      return;
    }
    try {
      if ("replicas" in reply) {
        this.#applyReplicaList(link, reply);
        return;
      }
      // A new feed means that the replica has restarted without its state.
      link.suspectsSentRevision = reply.feed === link.feed
        ? suspectsSentRevision
        : 0;
      this.#applyReply(link, { reply, requestedAt });
      link.hasFailed = false;
      link.currentAt = requestedAt;
      this.#confirmation.recordExchange();
    } catch (error) {
      this.#options.log.error("Can't apply the reply of a control replica", {
        address: link.address,
        error: String(error),
      });
      this.#recordFailure(link);
    }
  }

  /**
   * Adds the replicas listed by a process that runs none itself. The process is
   * removed from the links, and contacted again as a seed while no replica is
   * reachable.
   */
  #applyReplicaList(link: ControlLink, { replicas }: ReplicaList): void {
    const now = this.#options.clock.steady();
    for (const address of replicas) {
      this.#addReplica(address, now);
    }
    if (replicas.length > 0 && !replicas.includes(link.address)) {
      this.#links.delete(link.address);
    }
  }

  /**
   * Follows the largest share that a replica sends: replicas that count different
   * numbers of upstreams may send different ones.
   */
  #applyShares(link: ControlLink, { feed, followed }: SyncReply): void {
    if (followed === undefined && feed === link.feed) {
      return;
    }
    link.followed = followed ?? {};
    const links = this.#listLinks().filter((each) => each.feed !== "");
    const largest = createRecord<number>();
    for (const [service, share] of Object.entries(link.followed)) {
      const shares = links.map((each) => ownValue(each.followed, service) ?? 1);
      largest[service] = Math.max(share, ...shares);
    }
    this.#options.onFollow(largest);
  }

  /** Exchanges with a new leader at once, so that it becomes the primary. */
  #followLeader({ leader }: SyncReply): void {
    const link = leader === undefined ? undefined : this.#links.get(leader);
    if (
      link !== undefined && !link.isLeading && !link.hasFailed &&
      link.ongoingExchange === undefined
    ) {
      this.#startExchange(link);
    }
  }

  #recordFailure(link: ControlLink): void {
    link.hasFailed = true;
    link.report.handleFailure();
    this.#choosePrimary();
    this.#confirmation.recordExchange();
  }

  #applyReply(
    link: ControlLink,
    options: { reply: SyncReply; requestedAt: Milliseconds },
  ): void {
    const { reply, requestedAt } = options;
    const now = this.#options.clock.steady();
    link.receivedAt = now;
    link.isLeading = reply.isLeading;
    link.isPrimary = reply.isPrimary ?? false;
    link.shortReportTimeout = reply.shortReportTimeout;
    link.wallOffset = reply.wall - (requestedAt + now) / 2;
    link.report.handleReply(reply);
    const isListNew = applyEntryList(
      link.entries,
      reply,
      (entry) => this.#options.isUsableEntry(entry, link.address),
    );
    if (isListNew) {
      this.#mergedEntries = undefined;
    }
    link.entryCount = reply.entryCount ?? link.entries.size;
    for (const address of reply.controls) {
      this.#addReplica(address, now);
    }
    this.#updateReachability(link);
    this.#followLeader(reply);
    this.#choosePrimary();
    const isPrimary = link.address === this.#primary;
    link.loadsSince = isPrimary && reply.shared !== undefined
      ? reply.revision
      : link.loadsSince;
    this.#applyShares(link, reply);
    const entries = isListNew ? [...link.entries.values()] : undefined;
    this.#options.onReply({ ...reply, entries }, {
      from: link.address,
      transit: now - requestedAt,
    });
    // Advanced only after the reply was applied, so that what failed is sent
    // again.
    link.feed = reply.feed;
    link.revision = reply.revision;
  }
}
