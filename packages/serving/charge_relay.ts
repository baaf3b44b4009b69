import type { Milliseconds } from "@heroncleat/base";
import type { RelayedCharges, ToldCharges } from "./told_charges.ts";

/** Time for which charges that were heard elsewhere are passed on. */
const KEPT: Milliseconds = 1000;
/** Entries that are asked for or passed on to one replica at most. */
const MOST_NAMED = 32;

/** What one control replica says of the entries. */
type ReplicaView = {
  /** Entries that it knows of but doesn't hear. */
  unheard: ReadonlySet<string>;
  /** Entries that it names to callers; undefined before it told any. */
  listed: ReadonlySet<string> | undefined;
  heardAt: Milliseconds;
};

/** What one reply tells of other entries. */
type ReplyPart = {
  readonly unheard: readonly string[];
  readonly listed: readonly string[] | undefined;
  readonly charges: Readonly<Record<string, RelayedCharges>>;
};

/** Charges of an entry, and when it told them. */
type HeardCharges = ToldCharges & { readonly at: Milliseconds };

/**
 * Carries charges between control replicas that can't hear the same entries,
 * by way of an entry that reaches several of them, or hears an entry that
 * reaches none. Nothing is passed on while all replicas hear all entries.
 *
 * @public
 */
export class ChargeRelay {
  readonly #self: string;
  readonly #views = new Map<string, ReplicaView>();
  readonly #heard = new Map<string, HeardCharges>();

  /** @param self Name of this entry, which every replica hears itself. */
  constructor(self: string) {
    this.#self = self;
  }

  /** Takes in what a replica said. */
  noteReply(replica: string, part: ReplyPart, now: Milliseconds): void {
    const known = this.#views.get(replica);
    this.#views.set(replica, {
      unheard: new Set(part.unheard),
      listed: part.listed === undefined ? known?.listed : new Set(part.listed),
      heardAt: now,
    });
    for (const [entry, { boot, spent, age }] of Object.entries(part.charges)) {
      this.hear(entry, { boot, spent }, now - age);
    }
    this.#forget(now);
  }

  /** Takes in what an entry told, directly or by way of a replica. */
  hear(entry: string, told: ToldCharges, at: Milliseconds): void {
    const known = this.#heard.get(entry);
    if (known === undefined || known.at < at) {
      this.#heard.set(entry, { ...told, at });
    }
  }

  /** Entries of which a replica is asked, as another one doesn't hear them. */
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

  /** What a replica is told of entries that it doesn't hear. */
  passOnTo(replica: string, now: Milliseconds): Record<string, RelayedCharges> {
    const charges: Record<string, RelayedCharges> = {};
    for (const name of [...this.#missingAt(replica)].slice(0, MOST_NAMED)) {
      const known = this.#heard.get(name);
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
    for (const [replica, { heardAt }] of this.#views) {
      if (now - heardAt >= KEPT * 2) {
        this.#views.delete(replica);
      }
    }
    for (const [entry, { at }] of this.#heard) {
      if (now - at >= KEPT) {
        this.#heard.delete(entry);
      }
    }
  }
}
