import type { Milliseconds } from "@heroncleat/base";
import { ChargeBook } from "./charge_book.ts";
import type { RevisionCounter } from "./revision_counter.ts";
import type { RelayedCharges, ToldCharges } from "./told_charges.ts";

/**
 * Silence after which an entry may be using its share of the quotas by itself:
 * four of its exchanges. A replica that was cut off with one entry let it spend
 * everybody's share for twice as long, and a workspace that asked for six times
 * its usual overran what is tolerated by 1 % (one of 40 hunted days).
 */
const SILENT_AFTER: Milliseconds = 600;
/** The same with many entries, whose exchanges are further apart. */
const MOST_SILENT_AFTER: Milliseconds = 1200;
/** Entries from which their exchanges with a replica are further apart. */
const PACED_ENTRIES = 32;
/** Entries that are named as unheard, or asked for, at most. */
const MOST_NAMED = 32;

/** An entry as this replica last heard of it. */
type HeardEntry = {
  readonly heardAt: Milliseconds;
  /** When it told this replica itself. */
  readonly toldAt: Milliseconds;
};

/**
 * What one control replica knows of the charges of all entries: from each
 * itself, and, while it hears nothing from one, from others that still do.
 * Replicas in two halves each hear some of the entries only; where they told
 * just these, a workspace got 1.3 times its rate from all (played load).
 *
 * @internal
 */
export class ChargeExchange {
  readonly #book: ChargeBook;
  readonly #entries = new Map<string, HeardEntry>();

  constructor(revisions?: RevisionCounter) {
    this.#book = new ChargeBook(revisions);
  }

  /**
   * Takes in what an entry tells of itself.
   *
   * @returns Whether it could be taken; if not, the entry must tell all.
   */
  hear(entry: string, told: ToldCharges, now: Milliseconds): boolean {
    const isTaken = this.#book.hear(entry, told, now);
    if (isTaken || this.#entries.has(entry)) {
      this.#entries.set(entry, { heardAt: now, toldAt: now });
    }
    return isTaken;
  }

  /** Takes in what another one tells of an entry, unless more is known. */
  learn(entry: string, relayed: RelayedCharges, now: Milliseconds): void {
    const { boot, spent, age } = relayed;
    const heardAt = now - age;
    const known = this.#entries.get(entry);
    if (known !== undefined && known.heardAt >= heardAt) {
      return;
    }
    this.#book.hear(entry, { boot, spent }, heardAt);
    const toldAt = known?.toldAt ?? -Infinity;
    this.#entries.set(entry, { heardAt, toldAt });
  }

  /** Forgets entries of which nothing was heard since; what they spent stays. */
  forget(before: Milliseconds): void {
    for (const [entry, { heardAt }] of this.#entries) {
      if (heardAt < before) {
        this.#book.drop(entry);
        this.#entries.delete(entry);
      }
    }
  }

  /** Charges of all entries but one, by quota bucket; see ChargeBook. */
  sumWithout(entry: string, since?: number): Record<string, number> {
    return this.#book.sumWithout(entry, since);
  }

  /** Names of entries that don't tell this replica anything any more. */
  unheard(now: Milliseconds): string[] {
    const names: string[] = [];
    for (const [name, { toldAt }] of this.#entries) {
      if (now - toldAt >= this.#silence && names.length < MOST_NAMED) {
        names.push(name);
      }
    }
    return names;
  }

  /** What the named entries told this replica themselves, lately. */
  tell(
    names: readonly string[],
    now: Milliseconds,
  ): Record<string, RelayedCharges> {
    const charges: Record<string, RelayedCharges> = {};
    for (const name of names.slice(0, MOST_NAMED)) {
      const age = now - (this.#entries.get(name)?.toldAt ?? -Infinity);
      const told = this.#book.report(name);
      if (told !== undefined && age < this.#silence) {
        charges[name] = { ...told, age };
      }
    }
    return charges;
  }

  /**
   * Part of all quotas that may be handed out: entries of which nothing is
   * heard may be using an even share by themselves.
   */
  share(now: Milliseconds): number {
    const known = Math.max(1, this.#entries.size);
    let heard = 0;
    for (const { heardAt, toldAt } of this.#entries.values()) {
      const isRelayed = heardAt > toldAt;
      // News by way of others come in their exchanges, not in its own.
      const silence = isRelayed ? MOST_SILENT_AFTER : this.#silence;
      heard += now - heardAt < silence ? 1 : 0;
    }
    return heard / known;
  }

  get #silence(): Milliseconds {
    const pace = Math.max(1, this.#entries.size / PACED_ENTRIES);
    return Math.min(MOST_SILENT_AFTER, SILENT_AFTER * pace);
  }
}
