import type { Milliseconds } from "@heroncleat/base";
import type { ToldCharges } from "./told_charges.ts";

/** An entry as this book last heard it. */
type KnownEntry = ToldCharges & {
  readonly heardAt: Milliseconds;
  /** What it charged since this book first heard of it. */
  readonly counted: Readonly<Record<string, number>>;
};

/**
 * Adds up what entries charge to workspaces from when this book first heard of
 * each. Entries tell totals since the start of their process, so a book that
 * starts later must not take what they charged before for something new.
 *
 * @internal
 */
export class ChargeBook {
  readonly #known = new Map<string, KnownEntry>();
  /** Charges of entries that are gone. */
  readonly #before: Record<string, number> = {};

  hear(entry: string, told: ToldCharges, now: Milliseconds): void {
    const known = this.#known.get(entry);
    const counted = { ...known?.counted };
    if (known !== undefined) {
      const isSame = known.boot === told.boot;
      for (const [bucket, total] of Object.entries(told.spent)) {
        const since = isSame ? known.spent[bucket] ?? 0 : 0;
        counted[bucket] = (counted[bucket] ?? 0) + total - since;
      }
    }
    const { boot, spent } = told;
    this.#known.set(entry, { boot, spent, counted, heardAt: now });
  }

  /** Notes that an entry is gone. */
  drop(entry: string): void {
    const known = this.#known.get(entry);
    if (known !== undefined) {
      addAll(this.#before, known.counted);
      this.#known.delete(entry);
    }
  }

  /** Charges of all entries but one, by quota bucket. */
  sumWithout(entry: string): Record<string, number> {
    const totals = { ...this.#before };
    for (const [name, { counted }] of this.#known) {
      if (name !== entry) {
        addAll(totals, counted);
      }
    }
    return totals;
  }

  /** Names of the entries heard since a time. */
  heardSince(since: Milliseconds): Set<string> {
    const heard = new Set<string>();
    for (const [entry, { heardAt }] of this.#known) {
      if (heardAt >= since) {
        heard.add(entry);
      }
    }
    return heard;
  }
}

function addAll(
  totals: Record<string, number>,
  spent: Readonly<Record<string, number>>,
): void {
  for (const [bucket, amount] of Object.entries(spent)) {
    totals[bucket] = (totals[bucket] ?? 0) + amount;
  }
}
