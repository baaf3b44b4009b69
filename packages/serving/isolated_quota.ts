import type { Milliseconds } from "@heroncleat/base";
import { ChargeTotals } from "./charge_totals.ts";

/** Silence after which another entry counts as out of reach. */
const SILENT_AFTER: Milliseconds = 1000;

/** What entries learn of each other's charges, as the quota takes it in. */
type LearntCharges = {
  readonly spent: Readonly<Record<string, number>>;
  /** Part of all quotas that the entries in reach may use. */
  readonly share: number;
  /** Entries in reach, this one included. */
  readonly entries: number;
  readonly now: Milliseconds;
};

/**
 * What an entry that reaches no control replica knows of the others' charges,
 * as they send it directly. Entries that are out of reach may be using their
 * even share of each quota.
 *
 * @public
 */
export class IsolatedQuota {
  readonly #book = new ChargeTotals();
  /** Entries that said they take no callers. */
  readonly #closed = new Set<string>();

  receive(
    charges: {
      readonly entry: string;
      readonly boot: string;
      readonly spent: Readonly<Record<string, number>>;
      /** Whether callers may be sent there. */
      readonly isOpen: boolean;
    },
    now: Milliseconds,
  ): void {
    const { entry, boot, spent, isOpen } = charges;
    this.#book.applyReport(entry, { boot, spent }, now);
    if (isOpen) {
      this.#closed.delete(entry);
    } else {
      this.#closed.add(entry);
    }
  }

  /** Whether an entry is in reach and takes callers. */
  isOpen(entry: string, now: Milliseconds): boolean {
    return !this.#closed.has(entry) &&
      this.#book.entriesReceivedSince(now - SILENT_AFTER).has(entry);
  }

  /** @param known Entries at the last reply of a control replica. */
  learnt(known: number, now: Milliseconds): LearntCharges {
    const entries = this.#book.entriesReceivedSince(now - SILENT_AFTER).size +
      1;
    return {
      spent: this.#book.sumExcluding(""),
      share: Math.min(1, entries / Math.max(1, known)),
      entries,
      now,
    };
  }
}
