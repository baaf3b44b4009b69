import type { Milliseconds } from "@heroncleat/base";
import { ChargeBook } from "./charge_book.ts";
import type { RevisionCounter } from "./revision_counter.ts";
import type { RelayedCharges } from "./relayed_charges.ts";
import type { ReportedCharges } from "./reported_charges.ts";

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

/** An entry as this replica last known of it. */
type ReportedEntry = {
  readonly receivedAt: Milliseconds;
  /** When it reported to this replica itself. */
  readonly reportedAt: Milliseconds;
};

/**
 * What one control replica knows of the charges of all entries: from each
 * itself, and, while one is silent, from others that still reach it.
 * Replicas in two halves each reach some of the entries only; where they summed
 * just these, a workspace got 1.3 times its rate from all (simulated load).
 *
 * @internal
 */
export class ChargeExchange {
  readonly #book: ChargeBook;
  readonly #entries = new Map<string, ReportedEntry>();

  constructor(revisions?: RevisionCounter) {
    this.#book = new ChargeBook(revisions);
  }

  /**
   * Takes in what an entry reports of itself.
   *
   * @returns Whether it could be taken; if not, the entry must report all.
   */
  receive(
    entry: string,
    reported: ReportedCharges,
    now: Milliseconds,
  ): boolean {
    const isTaken = this.#book.receive(entry, reported, now);
    if (isTaken || this.#entries.has(entry)) {
      this.#entries.set(entry, { receivedAt: now, reportedAt: now });
    }
    return isTaken;
  }

  /** Takes in what another one reports of an entry, unless more is known. */
  learn(entry: string, relayed: RelayedCharges, now: Milliseconds): void {
    const { boot, spent, age } = relayed;
    const receivedAt = now - age;
    const known = this.#entries.get(entry);
    if (known !== undefined && known.receivedAt >= receivedAt) {
      return;
    }
    this.#book.receive(entry, { boot, spent }, receivedAt);
    const reportedAt = known?.reportedAt ?? -Infinity;
    this.#entries.set(entry, { receivedAt, reportedAt });
  }

  /** Forgets entries that didn't report since; what they spent stays. */
  forget(before: Milliseconds): void {
    for (const [entry, { receivedAt }] of this.#entries) {
      if (receivedAt < before) {
        this.#book.drop(entry);
        this.#entries.delete(entry);
      }
    }
  }

  /** Charges of all entries but one, by quota bucket; see ChargeBook. */
  sumWithout(entry: string, since?: number): Record<string, number> {
    return this.#book.sumWithout(entry, since);
  }

  /** Names of entries that don't report to this replica any more. */
  unheard(now: Milliseconds): string[] {
    const names: string[] = [];
    for (const [name, { reportedAt }] of this.#entries) {
      if (now - reportedAt >= this.#silence && names.length < MOST_NAMED) {
        names.push(name);
      }
    }
    return names;
  }

  /** What the named entries reported to this replica themselves, lately. */
  relay(
    names: readonly string[],
    now: Milliseconds,
  ): Record<string, RelayedCharges> {
    const charges: Record<string, RelayedCharges> = {};
    for (const name of names.slice(0, MOST_NAMED)) {
      const age = now - (this.#entries.get(name)?.reportedAt ?? -Infinity);
      const reported = this.#book.report(name);
      if (reported !== undefined && age < this.#silence) {
        charges[name] = { ...reported, age };
      }
    }
    return charges;
  }

  /**
   * Part of all quotas that may be handed out: entries of which nothing is
   * known may be using an even share by themselves.
   */
  share(now: Milliseconds): number {
    const known = Math.max(1, this.#entries.size);
    let received = 0;
    for (const { receivedAt, reportedAt } of this.#entries.values()) {
      const isRelayed = receivedAt > reportedAt;
      // Updates by way of others come in their exchanges, not in its own.
      const silence = isRelayed ? MOST_SILENT_AFTER : this.#silence;
      received += now - receivedAt < silence ? 1 : 0;
    }
    return received / known;
  }

  get #silence(): Milliseconds {
    const pace = Math.max(1, this.#entries.size / PACED_ENTRIES);
    return Math.min(MOST_SILENT_AFTER, SILENT_AFTER * pace);
  }
}
