import type { Milliseconds } from "@heroncleat/base";
import { RevisionCounter } from "./revision_counter.ts";
import type { ChargeReport } from "./charge_report.ts";

/** An entry as it last reported. */
type EntryState = {
  boot: string;
  /** Totals since the start of its process, by bucket. */
  spent: Map<string, number>;
  /** What it charged since this book first known of it. */
  readonly counted: Map<string, number>;
  /** Sum of `spent`. */
  digest: number;
  receivedAt: Milliseconds;
};

/** Charges of all entries to one bucket, and when they last changed. */
type BucketTotal = { amount: number; revision: number };

/**
 * Adds up what entries charge to workspaces from when this book first known of
 * each. Entries report totals since the start of their process, so a book that
 * starts later must not take what they charged before for something new.
 *
 * Sums are kept as they change: taking in a report costs what it names, however
 * many entries there are.
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
   * Takes in what an entry reports of itself.
   *
   * @returns Whether it was taken; changes of totals that this book doesn't
   * know, or a copy that differs from the entry's, need a whole report.
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
    const spent = report.isPartial ? previous : new Map<string, number>();
    const counted = known?.counted ?? new Map<string, number>();
    let digest = report.isPartial ? known!.digest : 0;
    for (const [bucket, total] of Object.entries(report.spent)) {
      const change = total - (previous.get(bucket) ?? 0);
      digest += report.isPartial ? change : total;
      spent.set(bucket, total);
      // What was charged before this book knew the entry isn't counted.
      if (known !== undefined && change !== 0) {
        counted.set(bucket, (counted.get(bucket) ?? 0) + change);
        this.#add(bucket, change);
      }
    }
    const { boot } = report;
    this.#known.set(entry, { boot, spent, counted, digest, receivedAt: now });
    return report.digest === undefined || report.digest === digest;
  }

  /** What a known entry reported, whole. */
  reportOf(entry: string): ChargeReport | undefined {
    const known = this.#known.get(entry);
    return known === undefined
      ? undefined
      : { boot: known.boot, spent: Object.fromEntries(known.spent) };
  }

  /** Notes that an entry is gone; what it charged stays in the sums. */
  remove(entry: string): void {
    this.#known.delete(entry);
  }

  /**
   * Charges of all entries but one, by quota bucket.
   *
   * @param since Revision behind which a bucket's sum must have changed.
   */
  sumExcluding(entry: string, since = 0): Record<string, number> {
    const own = this.#known.get(entry)?.counted;
    const sums: Record<string, number> = {};
    for (const [bucket, { amount, revision }] of this.#totals) {
      if (revision > since) {
        sums[bucket] = amount - (own?.get(bucket) ?? 0);
      }
    }
    return sums;
  }

  /** Names of the entries that reported since a time. */
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
