import type { Milliseconds } from "@heroncleat/base";
import { ChargeTotals } from "./charge_totals.ts";
import type { RevisionCounter } from "./revision_counter.ts";
import type { RelayedChargeReport } from "./relayed_charge_report.ts";
import type { ChargeReport } from "./charge_report.ts";

/**
 * Silence after which an entry may be using its share of the quotas by itself:
 * four of its exchanges. A replica that was cut off with one entry let it spend
 * everybody's share for twice as long, and a workspace that asked for six times
 * its usual overran what is tolerated by 1 % (one of 40 hunted days).
 */
const ENTRY_TIMEOUT: Milliseconds = 600;
/** The same with many entries, whose exchanges are further apart. */
const MAX_ENTRY_TIMEOUT: Milliseconds = 1200;
/** Entries from which their exchanges with a replica are further apart. */
const ENTRY_SCALING_THRESHOLD = 32;
/** Entries that are named as unheard, or asked for, at most. */
const MAX_NAMED_ENTRIES = 32;

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
export class ChargeAggregator {
  readonly #totals: ChargeTotals;
  readonly #entries = new Map<string, ReportedEntry>();

  constructor(revisions?: RevisionCounter) {
    this.#totals = new ChargeTotals(revisions);
  }

  /**
   * Takes in what an entry reports of itself.
   *
   * @returns Whether it could be taken; if not, the entry must report all.
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

  /** Takes in what another one reports of an entry, unless more is known. */
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

  /** Forgets entries that didn't report since; what they spent stays. */
  removeStale(before: Milliseconds): void {
    for (const [entry, { receivedAt }] of this.#entries) {
      if (receivedAt < before) {
        this.#totals.remove(entry);
        this.#entries.delete(entry);
      }
    }
  }

  /** Charges of all entries but one, by quota bucket; see ChargeBook. */
  sumExcluding(entry: string, since?: number): Record<string, number> {
    return this.#totals.sumExcluding(entry, since);
  }

  /** Names of entries that don't report to this replica any more. */
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

  /** What the named entries reported to this replica themselves, lately. */
  recentReports(
    names: readonly string[],
    now: Milliseconds,
  ): Record<string, RelayedChargeReport> {
    const charges: Record<string, RelayedChargeReport> = {};
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
   * Part of all quotas that may be handed out: entries of which nothing is
   * known may be using an even share by themselves.
   */
  quotaShare(now: Milliseconds): number {
    const known = Math.max(1, this.#entries.size);
    let received = 0;
    for (const { receivedAt, reportedAt } of this.#entries.values()) {
      const isRelayed = receivedAt > reportedAt;
      // Updates by way of others come in their exchanges, not in its own.
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
