import type { Milliseconds } from "@heroncleat/base";
import { ChargeTotals } from "./charge_totals.ts";

/** Time without a report after which another entry counts as unreachable. */
const UNRESPONSIVE_TIMEOUT: Milliseconds = 1000;
/** Entries that are kept; anybody may name more by datagram. */
const MAX_ENTRIES = 2000;

/**
 * Charges of the reachable entries and the share of the quotas they may use.
 */
type QuotaUpdate = {
  readonly spent: Readonly<Record<string, number>>;
  /** Share of all quotas that the reachable entries may use. */
  readonly share: number;
  /** Number of reachable entries, including this one. */
  readonly entries: number;
  readonly now: Milliseconds;
};

/** What an entry reported last, apart from its charges. */
type EntryReport = {
  /** Whether callers may be sent there. */
  readonly isOpen: boolean;
  readonly receivedAt: Milliseconds;
};

/**
 * Charges that entries report to each other directly while no control replica
 * is reachable. Unreachable entries may be using their even share of each
 * quota.
 *
 * @public
 */
export class IsolatedQuota {
  readonly #charges = new ChargeTotals();
  /** The last report of each entry; the oldest one comes first. */
  readonly #reports = new Map<string, EntryReport>();

  receive(
    charges: {
      readonly entry: string;
      readonly boot: string;
      /** Undefined if the receiver can't tell which quotas exist yet. */
      readonly spent: Readonly<Record<string, number>> | undefined;
      /** Whether callers may be sent there. */
      readonly isOpen: boolean;
    },
    now: Milliseconds,
  ): void {
    const { entry, boot, spent, isOpen } = charges;
    if (spent !== undefined) {
      this.#charges.applyReport(entry, { boot, spent }, now);
    }
    this.#reports.delete(entry);
    this.#reports.set(entry, { isOpen, receivedAt: now });
    const [oldest] = this.#reports.keys();
    if (this.#reports.size > MAX_ENTRIES && oldest !== undefined) {
      this.#reports.delete(oldest);
      this.#charges.remove(oldest);
    }
  }

  /** Number of entries that are kept. */
  get size(): number {
    return this.#reports.size;
  }

  /** Whether an entry is reachable and accepts callers. */
  isOpen(entry: string, now: Milliseconds): boolean {
    const report = this.#reports.get(entry);
    return report !== undefined && report.isOpen &&
      now - report.receivedAt <= UNRESPONSIVE_TIMEOUT;
  }

  /**
   * Returns the update for `WorkspaceQuota.applyCharges`.
   *
   * @param knownEntries Number of entries in the last reply of a control
   * replica.
   */
  quotaUpdate(knownEntries: number, now: Milliseconds): QuotaUpdate {
    const entries =
      this.#charges.entriesReceivedSince(now - UNRESPONSIVE_TIMEOUT).size + 1;
    return {
      spent: this.#charges.sumExcluding(""),
      share: Math.min(1, entries / Math.max(1, knownEntries)),
      entries,
      now,
    };
  }
}
