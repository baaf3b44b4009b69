import type { Milliseconds, Random } from "@heroncleat/base";
import { exchangeInterval } from "./exchange_interval.ts";
import type { OriginReport } from "./origin_report.ts";
import type { SimulatedEntry } from "./simulated_origin_entry.ts";
import type { SimulatedOriginVersions } from "./simulated_origin_versions.ts";
import type { VirtualTime } from "./virtual_time.ts";

const REPLICA = "replica";
const ROUND_TRIP: Milliseconds = 2;
/** Share of the replies that are held up, if any are. */
const DELAYED_SHARE = 0.2;
/** As at entries: longest wait for a reply to a request sent from now on. */
const CONFIRM_TIMEOUT: Milliseconds = 150;

type LinkOptions = {
  readonly time: VirtualTime;
  readonly random: Random;
  readonly versions: SimulatedOriginVersions;
  readonly report: OriginReport;
  readonly entryCount: number;
  readonly maxReplyDelay: Milliseconds | undefined;
  readonly onReply: (entry: SimulatedEntry) => void;
};

/** Waits for the reply to a request that is sent at a time or later. */
type Waiter = {
  readonly since: Milliseconds;
  readonly finish: (isConfirmed: boolean) => void;
};

/**
 * The exchanges of simulated entries with the control replica, of which each
 * entry has one at a time.
 *
 * @internal
 */
export class SimulatedReplicaLink {
  readonly #options: LinkOptions;
  readonly #ongoing = new Set<SimulatedEntry>();
  readonly #queued = new Set<SimulatedEntry>();
  readonly #waiters = new Map<SimulatedEntry, Set<Waiter>>();
  /** Entries whose next exchange for the sake of waiters is scheduled. */
  readonly #scheduled = new Set<SimulatedEntry>();
  readonly #confirmedAt = new Map<SimulatedEntry, Milliseconds>();

  constructor(options: LinkOptions) {
    this.#options = options;
  }

  /** Exchanges now, or after the exchange in flight. */
  sync(entry: SimulatedEntry): void {
    if (this.#ongoing.has(entry)) {
      this.#queued.add(entry);
      return;
    }
    const { time, versions } = this.#options;
    this.#ongoing.add(entry);
    const reply = {
      requestedAt: time.now,
      versions: versions.since(entry.syncedRevision),
      revision: versions.revision,
      list: [...versions.list()],
    };
    const delay = this.#delay();
    if (delay === 0) {
      this.#receive(entry, reply);
    } else {
      time.schedule(delay, () => this.#receive(entry, reply));
    }
  }

  /** Finds out whether the replica replies to a request sent from now on. */
  confirm(
    entry: SimulatedEntry,
    done: (isConfirmed: boolean) => void,
  ): void {
    const { time, report } = this.#options;
    const waiters = this.#waiters.get(entry) ?? new Set();
    this.#waiters.set(entry, waiters);
    const waiter: Waiter = {
      since: time.now,
      finish: (isConfirmed) => {
        if (waiters.delete(waiter)) {
          done(isConfirmed);
        }
      },
    };
    waiters.add(waiter);
    time.schedule(CONFIRM_TIMEOUT, () => waiter.finish(false));
    if (this.#scheduled.has(entry)) {
      return;
    }
    this.#scheduled.add(entry);
    const last = this.#confirmedAt.get(entry) ?? -Infinity;
    time.schedule(Math.max(0, last + this.#pause - time.now), () => {
      this.#scheduled.delete(entry);
      if (entry.isRunning && entry.cutUntil <= time.now) {
        this.#confirmedAt.set(entry, time.now);
        report.confirmations += 1;
        this.sync(entry);
      }
    });
  }

  get #pause(): Milliseconds {
    return exchangeInterval.confirmation(this.#options.entryCount);
  }

  #receive(
    entry: SimulatedEntry,
    { requestedAt, versions, revision, list }: {
      requestedAt: Milliseconds;
      versions: ReturnType<SimulatedOriginVersions["since"]>;
      revision: number;
      list: readonly string[];
    },
  ): void {
    const { time, onReply } = this.#options;
    this.#ongoing.delete(entry);
    if (entry.isRunning && entry.cutUntil <= time.now) {
      entry.possible.applyReply(REPLICA, versions, time.now);
      entry.syncedRevision = revision;
      entry.syncedAt = time.now;
      entry.requestedAt = requestedAt;
      for (const version of list) {
        entry.versions.set(version, entry.versions.get(version) ?? time.now);
      }
      onReply(entry);
      this.#finishWaiters(entry, requestedAt);
    }
    if (this.#queued.delete(entry)) {
      this.sync(entry);
    }
  }

  #finishWaiters(entry: SimulatedEntry, requestedAt: Milliseconds): void {
    for (const { since, finish } of [...this.#waiters.get(entry) ?? []]) {
      if (requestedAt >= since) {
        finish(true);
      }
    }
  }

  #delay(): Milliseconds {
    const { random, maxReplyDelay } = this.#options;
    if (maxReplyDelay === undefined) {
      return 0;
    }
    return random() < DELAYED_SHARE ? random() * maxReplyDelay : ROUND_TRIP;
  }
}
