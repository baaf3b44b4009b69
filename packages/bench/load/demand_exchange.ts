import type { Milliseconds } from "@heroncleat/base";
import { DemandTotals } from "@heroncleat/serving";
import type { DemandReport } from "@heroncleat/shedding";

/** Time without an exchange after which a replica misses an entry. */
const MISSING_TIMEOUT: Milliseconds = 1200;

/** Exchanges of demand between entries and a primary replica. */
export class DemandExchange {
  readonly #totals = new DemandTotals();
  /** When entries last exchanged, the longest ago first. */
  readonly #exchangedAt = new Map<number, Milliseconds>();

  /** Replaces the report of an entry, and returns the sums. */
  exchange(
    entry: number,
    report: DemandReport | undefined,
    now: Milliseconds,
  ): DemandReport | undefined {
    this.#exchangedAt.delete(entry);
    this.#exchangedAt.set(entry, now);
    for (const [other, at] of this.#exchangedAt) {
      if (now - at <= MISSING_TIMEOUT) {
        break;
      }
      this.#totals.update(String(other), undefined);
      this.#exchangedAt.delete(other);
    }
    this.#totals.update(String(entry), report);
    return this.#totals.sums(now);
  }
}
