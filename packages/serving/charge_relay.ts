import type { Milliseconds } from "@heroncleat/base";
import type { RelayedChargeReport } from "./relayed_charge_report.ts";
import type { ChargeReport } from "./charge_report.ts";

/** Time for which charges that arrived elsewhere are passed on. */
const RETENTION: Milliseconds = 1000;
/** Entries that are asked for or passed on to one replica at most. */
const MAX_NAMED_ENTRIES = 32;

/** What one control replica says of the entries. */
type ReplicaView = {
  /** Entries that it knows of but that are silent to it. */
  unheard: ReadonlySet<string>;
  /** Entries that it names to callers; undefined before it sent a list. */
  listed: ReadonlySet<string> | undefined;
  receivedAt: Milliseconds;
};

/** What one reply reports of other entries. */
type ReplyContents = {
  readonly unheard: readonly string[];
  readonly listed: readonly string[] | undefined;
  readonly charges: Readonly<Record<string, RelayedChargeReport>>;
};

/** Charges of an entry, and when it reported them. */
type ReceivedReport = ChargeReport & { readonly at: Milliseconds };

/**
 * Carries charges between control replicas that aren't reached by the same
 * entries, by way of an entry that reaches several of them, or is reached by an
 * entry that reaches none. Nothing is passed on while all entries reach all
 * replicas.
 *
 * @public
 */
export class ChargeRelay {
  readonly #self: string;
  readonly #views = new Map<string, ReplicaView>();
  readonly #received = new Map<string, ReceivedReport>();

  /** @param self Name of this entry, which reports to every replica itself. */
  constructor(self: string) {
    this.#self = self;
  }

  /** Takes in what a replica said. */
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

  /** Takes in what an entry reported, directly or by way of a replica. */
  record(entry: string, report: ChargeReport, at: Milliseconds): void {
    const known = this.#received.get(entry);
    if (known === undefined || known.at < at) {
      this.#received.set(entry, { ...report, at });
    }
  }

  /**
   * Entries of which a replica is asked, as they are silent to another one.
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

  /** What a replica is sent of entries that don't report to it. */
  chargesToRelay(
    replica: string,
    now: Milliseconds,
  ): Record<string, RelayedChargeReport> {
    const charges: Record<string, RelayedChargeReport> = {};
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

  /** A replica that has started lately may not know that an entry exists. */
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
      if (now - receivedAt >= RETENTION * 2) {
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
