import type { Clock, Milliseconds } from "@heroncleat/base";
import {
  CounterReport,
  exchangePause,
  type KnownEntry,
  median,
  type ReplicaList,
  type SyncReply,
  type SyncRequest,
} from "@heroncleat/serving";
import type { PeerPool } from "@heroncleat/transport";
import type { Log } from "../common/log.ts";
import type { ControlLink } from "./control_link.ts";
import type { FeedPosition } from "./feed_position.ts";
import { applyEntryList } from "./apply_entry_list.ts";

/** Silence after which an exchange has failed. */
const SYNC_TIMEOUT: Milliseconds = 800;
/** Silence after which a control replica counts as out of reach. */
const UNREACHABLE_TIMEOUT: Milliseconds = 1500;
/** Silence after which a replica that no other names is not asked again. */
const FORGET_TIMEOUT: Milliseconds = 20_000;
/** Longest wait for an exchange that a request asks for. */
const REFRESH_TIMEOUT: Milliseconds = 100;
/** Part of a pause by which it varies, so that entries don't ask in step. */
const JITTER = 0.2;

/** What the links are built from. */
type LinkOptions = {
  readonly pool: PeerPool;
  readonly clock: Clock;
  readonly log: Log;
  /** host:port of replicas to ask when none is known. */
  readonly seeds: () => readonly string[];
  readonly createRequest: (position: FeedPosition) => SyncRequest;
  /** @param from host:port of the replica that answered. */
  readonly onReply: (reply: SyncReply, from: string) => void;
  /** Whether nothing can be served before a reply brings a configuration. */
  readonly isAwaitingConfiguration: () => boolean;
  /** A number from 0 to 1. */
  readonly random: () => number;
  /** Own revision of the requests under which upstreams ended. */
  readonly suspectRevision: () => number;
  /** Called when no replica can be reached any more. */
  readonly onIsolated: () => void;
};

/**
 * Exchanges state with every control replica, several times a second. Each
 * replica answers for itself, so that state arrives while any path is open. The
 * one that leads the group, if it is in reach, is the primary of all entries:
 * what they share with each other goes by it.
 */
export class ControlLinks {
  readonly #options: LinkOptions;
  readonly #links = new Map<string, ControlLink>();
  #primary = "";
  /** Entries that any replica in reach names; undefined once that changes. */
  #mergedEntries: readonly KnownEntry[] | undefined;
  #timer: NodeJS.Timeout | undefined;
  #wasIsolated = false;
  #isStopped = false;

  constructor(options: LinkOptions) {
    this.#options = options;
  }

  start(): void {
    this.#poll();
  }

  stop(): void {
    this.#isStopped = true;
    clearTimeout(this.#timer);
  }

  /** Reports all replicas at once, as when this entry leaves. */
  exchangeWithAll(): void {
    for (const link of this.#listLinks()) {
      this.#startExchange(link);
    }
  }

  /** Exchanges with the primary; resolves with its reply or after a time. */
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

  /** Reports to the primary now, or as soon as it has answered. */
  reportToPrimary(): void {
    const link = this.#links.get(this.#primary);
    if (link?.ongoingExchange !== undefined) {
      link.isExchangeQueued = true;
    } else if (link !== undefined) {
      this.#startExchange(link);
    }
  }

  /** Reports to all replicas now, or as soon as they have answered. */
  reportToAll(): void {
    for (const link of this.#listLinks()) {
      if (link.ongoingExchange === undefined) {
        this.#startExchange(link);
      } else {
        link.isExchangeQueued = true;
      }
    }
  }

  /** Whether any replica answered lately. */
  get isConnected(): boolean {
    return this.#listLinks().some((link) => this.#isReachable(link));
  }

  /** Time since the newest answer of any replica. */
  get syncAge(): Milliseconds {
    const receivedTimes = this.#listLinks().map((link) => link.receivedAt);
    return this.#options.clock.steady() - Math.max(0, ...receivedTimes);
  }

  /** Entries that any replica in reach names. */
  listEntries(): readonly KnownEntry[] {
    for (const link of this.#links.values()) {
      this.#updateReachability(link);
    }
    this.#mergedEntries ??= this.#mergeEntryLists();
    return this.#mergedEntries;
  }

  #mergeEntryLists(): KnownEntry[] {
    const entries = new Map<string, KnownEntry>();
    for (const link of this.#links.values()) {
      for (const [name, entry] of link.isLost ? [] : link.entries) {
        entries.set(name, entry);
      }
    }
    return [...entries.values()];
  }

  /** True time since 1970 as the replicas estimate it. */
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
    return this.#options.clock.steady() - link.receivedAt < UNREACHABLE_TIMEOUT;
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
      ? exchangePause.first(this.#entryCount)
      : exchangePause.look(this.#entryCount);
  }

  /** Entries that report to any replica in reach. */
  get #entryCount(): number {
    let maxEntries = 0;
    for (const link of this.#links.values()) {
      maxEntries = Math.max(
        maxEntries,
        this.#isReachable(link) ? link.entryCount : 0,
      );
    }
    return maxEntries;
  }

  #startDueExchanges(): void {
    const now = this.#options.clock.steady();
    this.#choosePrimary();
    if (!this.isConnected || this.#links.size === 0) {
      for (const address of this.#options.seeds()) {
        this.#addReplica(address, now);
      }
    }
    // While none answers, the last that were named may be all there are: seeds
    // may have been replaced long ago.
    const mayForget = this.isConnected;
    for (const link of this.#listLinks()) {
      this.#updateReachability(link);
      const unseenFor = now - Math.max(link.receivedAt, link.listedAt);
      if (mayForget && unseenFor > FORGET_TIMEOUT) {
        this.#links.delete(link.address);
        this.#mergedEntries = undefined;
      } else if (link.ongoingExchange === undefined && this.#isDue(link, now)) {
        this.#startExchange(link);
      }
    }
  }

  #isDue(link: ControlLink, now: Milliseconds): boolean {
    if (this.#options.isAwaitingConfiguration()) {
      return now - link.requestedAt >= this.#pollInterval / 2;
    }
    const usesShortPause = this.#primary !== "" &&
      link.address !== this.#primary &&
      this.#isReachable(link);
    const pause = usesShortPause
      ? exchangePause.short(link.entryCount)
      : exchangePause.whole(link.entryCount);
    // Looks come a little early or late.
    return now - link.requestedAt >= pause - this.#pollInterval / 2;
  }

  #choosePrimary(): void {
    const reachable = this.#listLinks().filter((link) =>
      this.#isReachable(link)
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

  /** The loads that are known come from the primary, none from others. */
  #setPrimary(address: string): void {
    if (address === this.#primary) {
      return;
    }
    this.#primary = address;
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
        log.info("Reaches a control replica", context);
      }
    }
  }

  #addReplica(address: string, now: Milliseconds): void {
    const existing = this.#links.get(address);
    if (existing !== undefined) {
      existing.listedAt = now;
      return;
    }
    this.#links.set(address, {
      address,
      feed: "",
      revision: 0,
      receivedAt: -UNREACHABLE_TIMEOUT,
      requestedAt: -UNREACHABLE_TIMEOUT,
      hasFailed: false,
      isLeading: false,
      listedAt: now,
      wallOffset: undefined,
      entries: new Map(),
      entryCount: 0,
      loadsSince: 0,
      suspectsSentRevision: 0,
      report: new CounterReport(),
      ongoingExchange: undefined,
      isExchangeQueued: false,
      isLost: true,
    });
  }

  /** Begins an exchange; what it resolves with says nothing of its outcome. */
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
          isPrimary: link.address === this.#primary,
          loadsSince: link.loadsSince,
          suspectsSentRevision: link.suspectsSentRevision,
          report: link.report,
        }),
        timeout: SYNC_TIMEOUT,
      }) as SyncReply | ReplicaList;
    } catch {
      // A replica that doesn't answer is logged once it has been silent.
      this.#recordFailure(link);
      return;
    }
    if ("replicas" in reply) {
      this.#applyReplicaList(link, reply);
      return;
    }
    try {
      // A replica that has started again may know of none.
      link.suspectsSentRevision = reply.feed === link.feed
        ? suspectsSentRevision
        : 0;
      this.#applyReply(link, { reply, requestedAt });
      link.hasFailed = false;
    } catch (error) {
      this.#options.log.error("A replica's reply can't be taken in", {
        address: link.address,
        error: String(error),
      });
      this.#recordFailure(link);
    }
  }

  /**
   * A process without a replica only says where they are. It is asked again
   * while none of them answers.
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

  #recordFailure(link: ControlLink): void {
    link.hasFailed = true;
    link.report.noteFailure();
    this.#choosePrimary();
  }

  #applyReply(
    link: ControlLink,
    options: { reply: SyncReply; requestedAt: Milliseconds },
  ): void {
    const { reply, requestedAt } = options;
    const now = this.#options.clock.steady();
    link.receivedAt = now;
    link.isLeading = reply.isLeading;
    link.wallOffset = reply.wall - (requestedAt + now) / 2;
    link.report.noteReply(reply);
    const isListNew = applyEntryList(link.entries, reply);
    if (isListNew) {
      this.#mergedEntries = undefined;
    }
    link.entryCount = reply.entryCount ?? link.entries.size;
    for (const address of reply.controls) {
      this.#addReplica(address, now);
    }
    this.#updateReachability(link);
    this.#choosePrimary();
    const isPrimary = link.address === this.#primary;
    link.loadsSince = isPrimary && reply.shared !== undefined
      ? reply.revision
      : link.loadsSince;
    const entries = isListNew ? [...link.entries.values()] : undefined;
    this.#options.onReply({ ...reply, entries }, link.address);
    // Only what was taken in is not asked for again.
    link.feed = reply.feed;
    link.revision = reply.revision;
  }
}
