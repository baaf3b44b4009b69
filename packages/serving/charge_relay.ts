import { createRecord, type Milliseconds } from "@heroncleat/base";
import type { RelayedChargeReport } from "./relayed_charge_report.ts";
import type { ChargeReport } from "./charge_report.ts";
import { dropOldest } from "./drop_oldest.ts";

/** Time for which received charges are relayed. */
const RETENTION: Milliseconds = 1000;
/** Time for which the last reply of a replica counts. */
const VIEW_RETENTION: Milliseconds = 3000;
/**
 * Limit of entries whose charges are requested from or relayed to one replica.
 */
const MAX_NAMED_ENTRIES = 32;

/** Entries whose charges are kept; anybody may name more by datagram. */
const MAX_KEPT_ENTRIES = 2000;

/** Which entries a control replica has a record of. */
type ReplicaView = {
  /** Entries that the replica has a record of but that don't report to it. */
  unheard: ReadonlySet<string>;
  /**
   * Entries that the replica lists as open; undefined before its first list.
   */
  listed: ReadonlySet<string> | undefined;
  receivedAt: Milliseconds;
};

/** The part of a reply that concerns other entries. */
type ReplyContents = {
  readonly unheard: readonly string[];
  readonly listed: readonly string[] | undefined;
  readonly charges: Readonly<Record<string, RelayedChargeReport>>;
};

/** Charges of an entry, and when the entry reported them. */
type ReceivedReport = ChargeReport & { readonly at: Milliseconds };

/**
 * Relays charges between control replicas that receive reports from different
 * entries, by way of an entry that reaches several replicas. Nothing is relayed
 * while all entries reach all replicas.
 *
 * @public
 */
export class ChargeRelay {
  readonly #self: string;
  readonly #views = new Map<string, ReplicaView>();
  readonly #received = new Map<string, ReceivedReport>();

  /**
   * @param self Name of this entry, which reports to every replica directly.
   */
  constructor(self: string) {
    this.#self = self;
  }

  handleReply(replica: string, reply: ReplyContents, now: Milliseconds): void {
    const known = this.#views.get(replica);
    this.#views.set(replica, {
      unheard: new Set(reply.unheard),
      listed: reply.listed === undefined
        ? known?.listed
        : new Set(reply.listed),
      receivedAt: now,
    });
    for (const [entry, { boot, spent, age }] of Object.entries(reply.charges)) {
      this.record(entry, { boot, spent }, now - age);
    }
    this.#removeStale(now);
  }

  /** Number of entries whose charges are kept. */
  get size(): number {
    return this.#received.size;
  }

  /** Records charges that an entry reported, directly or through a replica. */
  record(entry: string, report: ChargeReport, at: Milliseconds): void {
    const known = this.#received.get(entry);
    if (known === undefined || known.at < at) {
      // Reinserted, so that the oldest report comes first.
      this.#received.delete(entry);
      this.#received.set(entry, { ...report, at });
      dropOldest(this.#received, MAX_KEPT_ENTRIES);
    }
  }

  /**
   * Entries whose charges a replica is asked for, because they don't report to
   * another replica.
   */
  entriesToRequest(replica: string): string[] {
    const unreportedHere = this.#unreportedAt(replica);
    const wanted = new Set<string>();
    for (const other of this.#views.keys()) {
      for (const name of other === replica ? [] : this.#unreportedAt(other)) {
        if (!unreportedHere.has(name)) {
          wanted.add(name);
        }
      }
    }
    return [...wanted].slice(0, MAX_NAMED_ENTRIES);
  }

  /** Charges to send to a replica, of entries that don't report to it. */
  chargesToRelay(
    replica: string,
    now: Milliseconds,
  ): Record<string, RelayedChargeReport> {
    const charges = createRecord<RelayedChargeReport>();
    for (
      const name of [...this.#unreportedAt(replica)].slice(0, MAX_NAMED_ENTRIES)
    ) {
      const known = this.#received.get(name);
      if (known !== undefined && now - known.at < RETENTION) {
        const { boot, spent, at } = known;
        charges[name] = { boot, spent, age: now - at };
      }
    }
    return charges;
  }

  /**
   * Entries that don't report to a replica. A replica that has just started may
   * have no record of an entry that other replicas list.
   */
  #unreportedAt(replica: string): Set<string> {
    const view = this.#views.get(replica);
    const unreported = new Set(view?.unheard);
    if (view?.listed !== undefined) {
      for (const { listed } of this.#views.values()) {
        for (const name of listed ?? []) {
          if (!view.listed.has(name)) {
            unreported.add(name);
          }
        }
      }
    }
    unreported.delete(this.#self);
    return unreported;
  }

  #removeStale(now: Milliseconds): void {
    for (const [replica, { receivedAt }] of this.#views) {
      if (now - receivedAt >= VIEW_RETENTION) {
        this.#views.delete(replica);
      }
    }
    for (const [entry, { at }] of this.#received) {
      if (now - at >= RETENTION) {
        this.#received.delete(entry);
      }
    }
  }
}
