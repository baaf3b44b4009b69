import type { Clock, Milliseconds } from "@heroncleat/base";
import {
  type KnownEntry,
  median,
  type SyncReply,
  type SyncRequest,
} from "@heroncleat/serving";
import type { PeerPool } from "@heroncleat/transport";
import type { Log } from "../common/log.ts";

/** Pause between two exchanges with one control replica. */
const SYNC_INTERVAL: Milliseconds = 150;
/** Silence after which an exchange has failed. */
const SYNC_TIMEOUT: Milliseconds = 800;
/** Silence after which a control replica counts as out of reach. */
const LOST_AFTER: Milliseconds = 1500;
/** Silence after which a replica that no other names is not asked again. */
const DROP_AFTER: Milliseconds = 20_000;

/** What the links are built from. */
type LinkOptions = {
  readonly pool: PeerPool;
  readonly clock: Clock;
  readonly log: Log;
  /** host:port of replicas to ask when none is known. */
  readonly seeds: () => readonly string[];
  readonly describe: (
    known: { feed: string; revision: number },
  ) => SyncRequest;
  readonly onReply: (reply: SyncReply, isPrimary: boolean) => void;
  /** Told when no replica can be reached any more. */
  readonly onIsolated: () => void;
};

/** One control replica as this process knows it. */
type Link = {
  readonly address: string;
  feed: string;
  revision: number;
  heardAt: Milliseconds;
  namedAt: Milliseconds;
  /** True time since 1970 less this process's monotonic time. */
  wallOffset: Milliseconds | undefined;
  entries: readonly KnownEntry[];
  isAsking: boolean;
  isLost: boolean;
};

/**
 * Exchanges news with every control replica, several times a second. Each
 * replica answers for itself, so that news arrives while any path is open.
 */
export class ControlLinks {
  readonly #options: LinkOptions;
  readonly #links = new Map<string, Link>();
  #primary = "";
  #timer: NodeJS.Timeout | undefined;
  #wasIsolated = false;

  constructor(options: LinkOptions) {
    this.#options = options;
  }

  start(): void {
    this.#timer = setInterval(() => this.#tick(), SYNC_INTERVAL);
    this.#tick();
  }

  stop(): void {
    clearInterval(this.#timer);
  }

  /** Tells all replicas at once, as when this entry leaves. */
  announce(): void {
    this.#tick();
  }

  /** Whether any replica answered lately. */
  get isConnected(): boolean {
    return this.#list().some((link) => this.#isHeard(link));
  }

  /** Time since the newest answer of any replica. */
  get newsAge(): Milliseconds {
    const heard = this.#list().map((link) => link.heardAt);
    return this.#options.clock.steady() - Math.max(0, ...heard);
  }

  /** Entries that any replica in reach names. */
  listEntries(): KnownEntry[] {
    const entries = new Map<string, KnownEntry>();
    for (const link of this.#links.values()) {
      for (const entry of this.#isHeard(link) ? link.entries : []) {
        entries.set(entry.name, entry);
      }
    }
    return [...entries.values()];
  }

  /** True time since 1970 as the replicas estimate it. */
  trueTime(now: Milliseconds): Milliseconds {
    const offsets: Milliseconds[] = [];
    for (const link of this.#links.values()) {
      if (link.wallOffset !== undefined && this.#isHeard(link)) {
        offsets.push(link.wallOffset);
      }
    }
    const offset = median(offsets);
    return offset === undefined ? this.#options.clock.wall() : now + offset;
  }

  #list(): Link[] {
    return [...this.#links.values()];
  }

  #isHeard(link: Link): boolean {
    return this.#options.clock.steady() - link.heardAt < LOST_AFTER;
  }

  #tick(): void {
    const now = this.#options.clock.steady();
    this.#choosePrimary();
    if (!this.isConnected || this.#links.size === 0) {
      for (const address of this.#options.seeds()) {
        this.#learn(address, now);
      }
    }
    for (const link of this.#list()) {
      this.#noteLoss(link);
      if (now - Math.max(link.heardAt, link.namedAt) > DROP_AFTER) {
        this.#links.delete(link.address);
      } else if (!link.isAsking) {
        void this.#ask(link);
      }
    }
  }

  #choosePrimary(): void {
    const primary = this.#links.get(this.#primary);
    if (primary !== undefined && this.#isHeard(primary)) {
      this.#wasIsolated = false;
      return;
    }
    const next = this.#list().find((link) => this.#isHeard(link));
    this.#primary = next?.address ?? "";
    if (next === undefined && !this.#wasIsolated) {
      this.#wasIsolated = true;
      this.#options.onIsolated();
    }
  }

  #noteLoss(link: Link): void {
    const isLost = !this.#isHeard(link);
    if (isLost !== link.isLost) {
      link.isLost = isLost;
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
      heardAt: -LOST_AFTER,
      namedAt: now,
      wallOffset: undefined,
      entries: [],
      isAsking: false,
      isLost: true,
    });
  }

  async #ask(link: Link): Promise<void> {
    link.isAsking = true;
    const { pool, clock } = this.#options;
    const askedAt = clock.steady();
    try {
      const reply = await pool.call(link.address, "hub.sync", {
        parameters: this.#options.describe(link),
        timeout: SYNC_TIMEOUT,
      }) as SyncReply;
      this.#onReply(link, { reply, askedAt });
    } catch {
      // A replica that doesn't answer is noted once it has been silent.
    } finally {
      link.isAsking = false;
    }
  }

  #onReply(
    link: Link,
    options: { reply: SyncReply; askedAt: Milliseconds },
  ): void {
    const { reply, askedAt } = options;
    const now = this.#options.clock.steady();
    link.heardAt = now;
    link.feed = reply.feed;
    link.revision = reply.revision;
    link.entries = reply.entries;
    link.wallOffset = reply.wall - (askedAt + now) / 2;
    for (const address of reply.controls) {
      this.#learn(address, now);
    }
    this.#choosePrimary();
    this.#options.onReply(reply, link.address === this.#primary);
  }
}
