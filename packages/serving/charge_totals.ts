import { createRecord, type Milliseconds } from "@heroncleat/base";
import { RevisionCounter } from "./revision_counter.ts";
import type { ChargeReport } from "./charge_report.ts";

/** The last report of an entry. */
type EntryState = {
  boot: string;
  /** Totals since the start of the entry's process, by bucket. */
  spent: Map<string, number>;
  /**
   * Charges since this instance first received a report of the entry, by
   * bucket.
   */
  readonly counted: Map<string, number>;
  digest: number;
  receivedAt: Milliseconds;
};

/**
 * Charges of all entries to one bucket, and the revision of their last change.
 */
type BucketTotal = { amount: number; revision: number };

/**
 * Sums what entries charge to workspaces, in time proportional to a report's
 * size. Reports are totals since the start of their process; an entry's first
 * one is the baseline.
 *
 * @internal
 */
export class ChargeTotals {
  readonly #revisions: RevisionCounter;
  readonly #known = new Map<string, EntryState>();
  readonly #totals = new Map<string, BucketTotal>();

  constructor(revisions: RevisionCounter = new RevisionCounter()) {
    this.#revisions = revisions;
  }

  /**
   * Applies the charges that an entry reports of itself.
   *
   * @returns Whether the report was accepted. A partial report of an unknown
   * process and a digest that differs from the recorded totals require a full
   * report.
   */
  applyReport(
    entry: string,
    report: ChargeReport,
    now: Milliseconds,
  ): boolean {
    const known = this.#known.get(entry);
    const isSameProcess = known !== undefined && known.boot === report.boot;
    if (report.isPartial && !isSameProcess) {
      return false;
    }
    const previous = isSameProcess ? known.spent : new Map<string, number>();
    // What a relaying entry leaves out must not count again later.
    const spent = previous;
    const counted = known?.counted ?? new Map<string, number>();
    let digest = report.isPartial ? known!.digest : 0;
    for (const [bucket, total] of Object.entries(report.spent)) {
      const change = total - (previous.get(bucket) ?? 0);
      digest += report.isPartial ? change : total;
      spent.set(bucket, total);
      // The first report of an entry is its baseline.
      if (known !== undefined && change !== 0) {
        counted.set(bucket, (counted.get(bucket) ?? 0) + change);
        this.#add(bucket, change);
      }
    }
    const { boot } = report;
    this.#known.set(entry, { boot, spent, counted, digest, receivedAt: now });
    return report.digest === undefined || report.digest === digest;
  }

  /** The recorded totals of an entry as a full report. */
  reportOf(entry: string): ChargeReport | undefined {
    const known = this.#known.get(entry);
    return known === undefined
      ? undefined
      : { boot: known.boot, spent: Object.fromEntries(known.spent) };
  }

  /** Removes an entry; its charges stay in the sums. */
  remove(entry: string): void {
    this.#known.delete(entry);
  }

  /**
   * Charges of all entries but one, by quota bucket.
   *
   * @param since Only buckets whose sum changed after this revision are
   * returned.
   */
  sumExcluding(entry: string, since = 0): Record<string, number> {
    const own = this.#known.get(entry)?.counted;
    const sums = createRecord<number>();
    for (const [bucket, { amount, revision }] of this.#totals) {
      if (revision > since) {
        sums[bucket] = amount - (own?.get(bucket) ?? 0);
      }
    }
    return sums;
  }

  /** Names of the entries that reported at or after a time. */
  entriesReceivedSince(since: Milliseconds): Set<string> {
    const received = new Set<string>();
    for (const [entry, { receivedAt }] of this.#known) {
      if (receivedAt >= since) {
        received.add(entry);
      }
    }
    return received;
  }

  #add(bucket: string, change: number): void {
    const revision = this.#revisions.next();
    const total = this.#totals.get(bucket);
    if (total === undefined) {
      this.#totals.set(bucket, { amount: change, revision });
    } else {
      total.amount += change;
      total.revision = revision;
    }
  }
}
