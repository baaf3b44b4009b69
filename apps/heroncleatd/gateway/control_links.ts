import type { Clock, Milliseconds } from "@heroncleat/base";
import {
  CounterReport,
  exchangeInterval,
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
import { takeEntryList } from "./take_entry_list.ts";

/** Silence after which an exchange has failed. */
const SYNC_TIMEOUT: Milliseconds = 800;
/** Silence after which a control replica counts as out of reach. */
const LOST_AFTER: Milliseconds = 1500;
/** Silence after which a replica that no other names is not asked again. */
const DROP_AFTER: Milliseconds = 20_000;
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
  readonly describe: (known: FeedPosition) => SyncRequest;
  /** @param from host:port of the replica that answered. */
  readonly onReply: (reply: SyncReply, from: string) => void;
  /** Whether nothing can be served before a reply brings a configuration. */
  readonly isWaiting: () => boolean;
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
  #listed: readonly KnownEntry[] | undefined;
  #timer: NodeJS.Timeout | undefined;
  #wasIsolated = false;
  #isStopped = false;

  constructor(options: LinkOptions) {
    this.#options = options;
  }

  start(): void {
    this.#tick();
  }

  stop(): void {
    this.#isStopped = true;
    clearTimeout(this.#timer);
  }

  /** Reports all replicas at once, as when this entry leaves. */
  announce(): void {
    for (const link of this.#list()) {
      this.#ask(link);
    }
  }

  /** Exchanges with the primary; resolves with its reply or after a time. */
  async refresh(): Promise<void> {
    const link = this.#links.get(this.#primary);
    if (link === undefined) {
      return;
    }
    const asking = link.asking ?? this.#ask(link);
    let timer: NodeJS.Timeout | undefined;
    const timeout = new Promise<void>((resolve) => {
      timer = setTimeout(resolve, REFRESH_TIMEOUT);
    });
    await Promise.race([asking, timeout]);
    clearTimeout(timer);
  }

  /** Reports to the primary now, or as soon as it has answered. */
  report(): void {
    const link = this.#links.get(this.#primary);
    if (link?.asking !== undefined) {
      link.isDueAgain = true;
    } else if (link !== undefined) {
      this.#ask(link);
    }
  }

  /** Reports to all replicas now, or as soon as they have answered. */
  reportToAll(): void {
    for (const link of this.#list()) {
      if (link.asking === undefined) {
        this.#ask(link);
      } else {
        link.isDueAgain = true;
      }
    }
  }

  /** Whether any replica answered lately. */
  get isConnected(): boolean {
    return this.#list().some((link) => this.#isInTouch(link));
  }

  /** Time since the newest answer of any replica. */
  get syncAge(): Milliseconds {
    const received = this.#list().map((link) => link.receivedAt);
    return this.#options.clock.steady() - Math.max(0, ...received);
  }

  /** Entries that any replica in reach names. */
  listEntries(): readonly KnownEntry[] {
    for (const link of this.#links.values()) {
      this.#noteLoss(link);
    }
    this.#listed ??= this.#joinLists();
    return this.#listed;
  }

  #joinLists(): KnownEntry[] {
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
      if (link.wallOffset !== undefined && this.#isInTouch(link)) {
        offsets.push(link.wallOffset);
      }
    }
    const offset = median(offsets);
    return offset === undefined ? this.#options.clock.wall() : now + offset;
  }

  #list(): ControlLink[] {
    return [...this.#links.values()];
  }

  #isInTouch(link: ControlLink): boolean {
    return this.#options.clock.steady() - link.receivedAt < LOST_AFTER;
  }

  #tick(): void {
    this.#look();
    if (!this.#isStopped) {
      const jitter = 1 + JITTER * (this.#options.random() - 0.5);
      this.#timer = setTimeout(() => this.#tick(), this.#lookPause * jitter);
    }
  }

  get #lookPause(): Milliseconds {
    return this.#options.isWaiting()
      ? exchangeInterval.initial(this.#entryCount)
      : exchangeInterval.check(this.#entryCount);
  }

  /** Entries that report to any replica in reach. */
  get #entryCount(): number {
    let most = 0;
    for (const link of this.#links.values()) {
      most = Math.max(most, this.#isInTouch(link) ? link.entryCount : 0);
    }
    return most;
  }

  #look(): void {
    const now = this.#options.clock.steady();
    this.#choosePrimary();
    if (!this.isConnected || this.#links.size === 0) {
      for (const address of this.#options.seeds()) {
        this.#learn(address, now);
      }
    }
    // While none answers, the last that were named may be all there are: seeds
    // may have been replaced long ago.
    const mayForget = this.isConnected;
    for (const link of this.#list()) {
      this.#noteLoss(link);
      const silence = now - Math.max(link.receivedAt, link.namedAt);
      if (mayForget && silence > DROP_AFTER) {
        this.#links.delete(link.address);
        this.#listed = undefined;
      } else if (link.asking === undefined && this.#isDue(link, now)) {
        this.#ask(link);
      }
    }
  }

  #isDue(link: ControlLink, now: Milliseconds): boolean {
    if (this.#options.isWaiting()) {
      return now - link.askedAt >= this.#lookPause / 2;
    }
    const isShort = this.#primary !== "" && link.address !== this.#primary &&
      this.#isInTouch(link);
    const pause = isShort
      ? exchangeInterval.short(link.entryCount)
      : exchangeInterval.full(link.entryCount);
    // Looks come a little early or late.
    return now - link.askedAt >= pause - this.#lookPause / 2;
  }

  #choosePrimary(): void {
    const received = this.#list().filter((link) => this.#isInTouch(link));
    const sound = received.filter(({ hasFailed }) => !hasFailed);
    const next = sound.find(({ isLeading }) => isLeading) ??
      sound.find(({ address }) => address === this.#primary) ??
      sound[0] ?? received[0];
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

  #noteLoss(link: ControlLink): void {
    const isLost = !this.#isInTouch(link);
    if (isLost !== link.isLost) {
      link.isLost = isLost;
      this.#listed = undefined;
      const { log } = this.#options;
      const context = { address: link.address };
      if (isLost) {
        log.warn("Lost a control replica", context);
      } else {
        log.info("Reaches a control replica", context);
      }
    }
  }

  #learn(address: string, now: Milliseconds): void {
    const known = this.#links.get(address);
    if (known !== undefined) {
      known.namedAt = now;
      return;
    }
    this.#links.set(address, {
      address,
      feed: "",
      revision: 0,
      receivedAt: -LOST_AFTER,
      askedAt: -LOST_AFTER,
      hasFailed: false,
      isLeading: false,
      namedAt: now,
      wallOffset: undefined,
      entries: new Map(),
      entryCount: 0,
      loadsSince: 0,
      suspectsTold: 0,
      report: new CounterReport(),
      asking: undefined,
      isDueAgain: false,
      isLost: true,
    });
  }

  /** Begins an exchange; what it resolves with says nothing of its outcome. */
  #ask(link: ControlLink): Promise<void> {
    link.isDueAgain = false;
    const asking = this.#exchange(link).then(() => {
      if (link.asking !== asking) {
        return;
      }
      link.asking = undefined;
      if (link.isDueAgain && !this.#isStopped) {
        this.#ask(link);
      }
    });
    link.asking = asking;
    return asking;
  }

  async #exchange(link: ControlLink): Promise<void> {
    const { pool, clock } = this.#options;
    const askedAt = clock.steady();
    link.askedAt = askedAt;
    const suspectsTold = this.#options.suspectRevision();
    let reply: SyncReply | ReplicaList;
    try {
      reply = await pool.call(link.address, "hub.sync", {
        parameters: this.#options.describe({
          feed: link.feed,
          revision: link.revision,
          isPrimary: link.address === this.#primary,
          loadsSince: link.loadsSince,
          suspectsTold: link.suspectsTold,
          report: link.report,
        }),
        timeout: SYNC_TIMEOUT,
      }) as SyncReply | ReplicaList;
    } catch {
      // A replica that doesn't answer is logged once it has been silent.
      this.#noteFailure(link);
      return;
    }
    if ("replicas" in reply) {
      this.#followList(link, reply);
      return;
    }
    try {
      // A replica that has started again may know of none.
      link.suspectsTold = reply.feed === link.feed ? suspectsTold : 0;
      this.#onReply(link, { reply, askedAt });
      link.hasFailed = false;
    } catch (error) {
      this.#options.log.error("A replica's reply can't be taken in", {
        address: link.address,
        error: String(error),
      });
      this.#noteFailure(link);
    }
  }

  /**
   * A process without a replica only says where they are. It is asked again
   * while none of them answers.
   */
  #followList(link: ControlLink, { replicas }: ReplicaList): void {
    const now = this.#options.clock.steady();
    for (const address of replicas) {
      this.#learn(address, now);
    }
    if (replicas.length > 0 && !replicas.includes(link.address)) {
      this.#links.delete(link.address);
    }
  }

  #noteFailure(link: ControlLink): void {
    link.hasFailed = true;
    link.report.handleFailure();
    this.#choosePrimary();
  }

  #onReply(
    link: ControlLink,
    options: { reply: SyncReply; askedAt: Milliseconds },
  ): void {
    const { reply, askedAt } = options;
    const now = this.#options.clock.steady();
    link.receivedAt = now;
    link.isLeading = reply.isLeading;
    link.wallOffset = reply.wall - (askedAt + now) / 2;
    link.report.handleReply(reply);
    const isListNew = takeEntryList(link.entries, reply);
    if (isListNew) {
      this.#listed = undefined;
    }
    link.entryCount = reply.entryCount ?? link.entries.size;
    for (const address of reply.controls) {
      this.#learn(address, now);
    }
    this.#noteLoss(link);
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
