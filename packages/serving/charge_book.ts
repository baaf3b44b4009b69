import type { Milliseconds } from "@heroncleat/base";

/** What one process told of its charges, by quota bucket, since its start. */
type ToldCharges = {
  /** Identifier of the process; new with each start. */
  readonly boot: string;
  readonly spent: Readonly<Record<string, number>>;
  readonly heardAt: Milliseconds;
};

/**
 * Adds up what entries charged to workspaces. Each tells a total since the
 * start of its process; what ended processes charged stays in the sum.
 *
 * @internal
 */
export class ChargeBook {
  readonly #told = new Map<string, ToldCharges>();
  /** Charges of processes that have ended. */
  readonly #before = new Map<string, number>();

  hear(
    entry: string,
    charges: Omit<ToldCharges, "heardAt">,
    now: Milliseconds,
  ): void {
    const known = this.#told.get(entry);
    if (known !== undefined && known.boot !== charges.boot) {
      this.#retire(known);
    }
    this.#told.set(entry, { ...charges, heardAt: now });
  }

  /** Notes that an entry is gone. */
  drop(entry: string): void {
    const known = this.#told.get(entry);
    if (known !== undefined) {
      this.#retire(known);
      this.#told.delete(entry);
    }
  }

  /** Charges of all entries but one, by quota bucket. */
  sumWithout(entry: string): Record<string, number> {
    const totals = Object.fromEntries(this.#before);
    for (const [name, { spent }] of this.#told) {
      if (name !== entry) {
        addAll(totals, spent);
      }
    }
    return totals;
  }

  /** Names of the entries heard since a time. */
  heardSince(since: Milliseconds): Set<string> {
    const heard = new Set<string>();
    for (const [entry, { heardAt }] of this.#told) {
      if (heardAt >= since) {
        heard.add(entry);
      }
    }
    return heard;
  }

  #retire({ spent }: ToldCharges): void {
    for (const [bucket, amount] of Object.entries(spent)) {
      this.#before.set(bucket, (this.#before.get(bucket) ?? 0) + amount);
    }
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
