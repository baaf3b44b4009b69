import { createRecord, type Milliseconds } from "@heroncleat/base";
import { ChargeTotals } from "./charge_totals.ts";
import type { RevisionCounter } from "./revision_counter.ts";
import type { RelayedChargeReport } from "./relayed_charge_report.ts";
import type { ChargeReport } from "./charge_report.ts";

/**
 * Time without a report after which an entry counts as isolated and may be using
 * its own share of the quotas: four exchange intervals.
 */
const ENTRY_TIMEOUT: Milliseconds = 600;
/** The same timeout with many entries, whose exchange intervals are longer. */
const MAX_ENTRY_TIMEOUT: Milliseconds = 1200;
/** Number of entries above which the exchange interval grows. */
const ENTRY_SCALING_THRESHOLD = 32;
/**
 * Limit of entries that are listed as unresponsive or whose charges are
 * requested.
 */
const MAX_NAMED_ENTRIES = 32;

/** When this replica last received charges of an entry. */
type ReportedEntry = {
  readonly receivedAt: Milliseconds;
  /** When the entry last reported to this replica directly. */
  readonly reportedAt: Milliseconds;
};

/**
 * The charges of all entries as one control replica has received them: from each
 * entry, or while it is unresponsive from peers that reach it, so that the two
 * sides of a partition don't hand out the same quota.
 *
 * @internal
 */
export class ChargeAggregator {
  readonly #totals: ChargeTotals;
  readonly #entries = new Map<string, ReportedEntry>();

  constructor(revisions?: RevisionCounter) {
    this.#totals = new ChargeTotals(revisions);
  }

  /**
   * Applies the charges that an entry reports of itself.
   *
   * @returns Whether the report was accepted; if not, the entry must send a
   * full report.
   */
  applyReport(
    entry: string,
    report: ChargeReport,
    now: Milliseconds,
  ): boolean {
    const isAccepted = this.#totals.applyReport(entry, report, now);
    if (isAccepted || this.#entries.has(entry)) {
      this.#entries.set(entry, { receivedAt: now, reportedAt: now });
    }
    return isAccepted;
  }

  /**
   * Applies charges of an entry that a peer relays, unless newer ones are
   * recorded.
   */
  applyRelayedReport(
    entry: string,
    relayed: RelayedChargeReport,
    now: Milliseconds,
  ): void {
    const { boot, spent, age } = relayed;
    const receivedAt = now - age;
    const known = this.#entries.get(entry);
    if (known !== undefined && known.receivedAt >= receivedAt) {
      return;
    }
    this.#totals.applyReport(entry, { boot, spent }, receivedAt);
    const reportedAt = known?.reportedAt ?? -Infinity;
    this.#entries.set(entry, { receivedAt, reportedAt });
  }

  /**
   * Removes entries without a report since a time; their charges stay in the
   * totals.
   */
  removeStale(before: Milliseconds): void {
    for (const [entry, { receivedAt }] of this.#entries) {
      if (receivedAt < before) {
        this.#totals.remove(entry);
        this.#entries.delete(entry);
      }
    }
  }

  /** Charges of all entries but one, by quota bucket; see ChargeTotals. */
  sumExcluding(entry: string, since?: number): Record<string, number> {
    return this.#totals.sumExcluding(entry, since);
  }

  /** Names of entries that no longer report to this replica. */
  listUnresponsive(now: Milliseconds): string[] {
    const names: string[] = [];
    for (const [name, { reportedAt }] of this.#entries) {
      if (
        now - reportedAt >= this.#timeout && names.length < MAX_NAMED_ENTRIES
      ) {
        names.push(name);
      }
    }
    return names;
  }

  /** Reports that the named entries recently sent to this replica directly. */
  recentReports(
    names: readonly string[],
    now: Milliseconds,
  ): Record<string, RelayedChargeReport> {
    const charges = createRecord<RelayedChargeReport>();
    for (const name of names.slice(0, MAX_NAMED_ENTRIES)) {
      const age = now - (this.#entries.get(name)?.reportedAt ?? -Infinity);
      const report = this.#totals.reportOf(name);
      if (report !== undefined && age < this.#timeout) {
        charges[name] = { ...report, age };
      }
    }
    return charges;
  }

  /**
   * Share of all quotas that may be handed out. Entries without a recent report
   * may be isolated and using an even share each.
   */
  quotaShare(now: Milliseconds): number {
    const known = Math.max(1, this.#entries.size);
    let received = 0;
    for (const { receivedAt, reportedAt } of this.#entries.values()) {
      const isRelayed = receivedAt > reportedAt;
      // Relayed reports arrive in the exchanges of the relaying entries.
      const timeout = isRelayed ? MAX_ENTRY_TIMEOUT : this.#timeout;
      received += now - receivedAt < timeout ? 1 : 0;
    }
    return received / known;
  }

  get #timeout(): Milliseconds {
    const scale = Math.max(1, this.#entries.size / ENTRY_SCALING_THRESHOLD);
    return Math.min(MAX_ENTRY_TIMEOUT, ENTRY_TIMEOUT * scale);
  }
}
