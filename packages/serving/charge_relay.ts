import type { Milliseconds } from "@heroncleat/base";
import type { RelayedCharges } from "./relayed_charges.ts";
import type { ReportedCharges } from "./reported_charges.ts";

/** Time for which charges that arrived elsewhere are passed on. */
const KEPT: Milliseconds = 1000;
/** Entries that are asked for or passed on to one replica at most. */
const MOST_NAMED = 32;

/** What one control replica says of the entries. */
type ReplicaView = {
  /** Entries that it knows of but that are silent to it. */
  unheard: ReadonlySet<string>;
  /** Entries that it names to callers; undefined before it sent a list. */
  listed: ReadonlySet<string> | undefined;
  receivedAt: Milliseconds;
};

/** What one reply reports of other entries. */
type ReplyPart = {
  readonly unheard: readonly string[];
  readonly listed: readonly string[] | undefined;
  readonly charges: Readonly<Record<string, RelayedCharges>>;
};

/** Charges of an entry, and when it reported them. */
type ReceivedCharges = ReportedCharges & { readonly at: Milliseconds };

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
  readonly #received = new Map<string, ReceivedCharges>();

  /** @param self Name of this entry, which reports to every replica itself. */
  constructor(self: string) {
    this.#self = self;
  }

  /** Takes in what a replica said. */
  noteReply(replica: string, part: ReplyPart, now: Milliseconds): void {
    const known = this.#views.get(replica);
    this.#views.set(replica, {
      unheard: new Set(part.unheard),
      listed: part.listed === undefined ? known?.listed : new Set(part.listed),
      receivedAt: now,
    });
    for (const [entry, { boot, spent, age }] of Object.entries(part.charges)) {
      this.receive(entry, { boot, spent }, now - age);
    }
    this.#forget(now);
  }

  /** Takes in what an entry reported, directly or by way of a replica. */
  receive(entry: string, reported: ReportedCharges, at: Milliseconds): void {
    const known = this.#received.get(entry);
    if (known === undefined || known.at < at) {
      this.#received.set(entry, { ...reported, at });
    }
  }

  /**
   * Entries of which a replica is asked, as they are silent to another one.
   */
  wantedFrom(replica: string): string[] {
    const missingHere = this.#missingAt(replica);
    const wanted = new Set<string>();
    for (const other of this.#views.keys()) {
      for (const name of other === replica ? [] : this.#missingAt(other)) {
        if (!missingHere.has(name)) {
          wanted.add(name);
        }
      }
    }
    return [...wanted].slice(0, MOST_NAMED);
  }

  /** What a replica is sent of entries that don't report to it. */
  passOnTo(replica: string, now: Milliseconds): Record<string, RelayedCharges> {
    const charges: Record<string, RelayedCharges> = {};
    for (const name of [...this.#missingAt(replica)].slice(0, MOST_NAMED)) {
      const known = this.#received.get(name);
      if (known !== undefined && now - known.at < KEPT) {
        const { boot, spent, at } = known;
        charges[name] = { boot, spent, age: now - at };
      }
    }
    return charges;
  }

  /** A replica that has started lately may not know that an entry exists. */
  #missingAt(replica: string): Set<string> {
    const view = this.#views.get(replica);
    const missing = new Set(view?.unheard);
    if (view?.listed !== undefined) {
      for (const { listed } of this.#views.values()) {
        for (const name of listed ?? []) {
          if (!view.listed.has(name)) {
            missing.add(name);
          }
        }
      }
    }
    missing.delete(this.#self);
    return missing;
  }

  #forget(now: Milliseconds): void {
    for (const [replica, { receivedAt }] of this.#views) {
      if (now - receivedAt >= KEPT * 2) {
        this.#views.delete(replica);
      }
    }
    for (const [entry, { at }] of this.#received) {
      if (now - at >= KEPT) {
        this.#received.delete(entry);
      }
    }
  }
}
