import type { Milliseconds } from "@heroncleat/base";
import { demandLimits } from "./demand_limits.ts";
import type { DemandRow } from "./demand_row.ts";
import { limitRows } from "./limit_rows.ts";
import type { Offer } from "./offer.ts";
import { RankDemand } from "./rank_demand.ts";
import { RecentQuantile } from "./recent_quantile.ts";
import { sheddingTimes } from "./shedding_times.ts";

/** Share of first tokens that are later by less than the error that counts. */
const ERROR_QUANTILE = 0.9;
/** Maximum share of an objective that the error of estimates counts for. */
const MAX_ERROR_SHARE = 0.25;
/** Interval at which idle workspaces are removed. */
const CLEANUP_INTERVAL: Milliseconds = 10_000;

/** One object, as views are reused while their rows are the same object. */
const NO_ROWS: readonly DemandRow[] = [];

type Totals = {
  readonly at: Milliseconds;
  readonly rows: readonly DemandRow[];
  readonly byRank: ReadonlyMap<number, readonly DemandRow[]>;
};

/** What an entry knows of the demand for a service. @internal */
export class ServiceDemand {
  /** Objectives by rank, from the configuration. */
  objectives: ReadonlyMap<number, Milliseconds> = new Map();
  /** Time by which first tokens were later than estimated. */
  readonly estimateErrors = new RecentQuantile(ERROR_QUANTILE);
  readonly #ranks = new Map<number, RankDemand>();
  #totals: Totals | undefined;
  #refusedAt: Milliseconds = -Infinity;
  #cleanedAt: Milliseconds = -Infinity;

  rank(priority: number): RankDemand {
    let rank = this.#ranks.get(priority);
    if (rank === undefined) {
      rank = new RankDemand(priority);
      this.#ranks.set(priority, rank);
    }
    return rank;
  }

  recordRefusal(now: Milliseconds): void {
    this.#refusedAt = now;
  }

  applyTotals(rows: readonly DemandRow[], now: Milliseconds): void {
    const byRank = new Map<number, DemandRow[]>();
    for (const row of rows) {
      const sameRank = byRank.get(row.priority);
      if (sameRank === undefined) {
        byRank.set(row.priority, [row]);
      } else {
        sameRank.push(row);
      }
    }
    this.#totals = { at: now, rows, byRank };
  }

  dropTotals(): void {
    this.#totals = undefined;
  }

  /** Age of the sums over all entries; undefined if only own demand counts. */
  totalsAge(now: Milliseconds): Milliseconds | undefined {
    const totals = this.#currentTotals(now);
    return totals === undefined ? undefined : now - totals.at;
  }

  /** Sums over all entries at one rank; undefined if only own demand counts. */
  totalsOf(
    priority: number,
    now: Milliseconds,
  ): readonly DemandRow[] | undefined {
    const totals = this.#currentTotals(now);
    return totals === undefined
      ? undefined
      : totals.byRank.get(priority) ?? NO_ROWS;
  }

  /** Demand and admitted engine time at one rank. */
  sums(
    priority: number,
    now: Milliseconds,
  ): { asked: Milliseconds; admitted: Milliseconds } {
    const own = this.#ranks.get(priority)?.view(undefined, now);
    const totals = this.totalsOf(priority, now);
    if (totals === undefined || totals.length === 0) {
      return own ?? { asked: 0, admitted: 0 };
    }
    return this.rank(priority).view(totals, now);
  }

  /**
   * Time by which estimates are too low, beyond the overhead that counts in any
   * case; 0 while no other rank competes, as that is decided as before.
   */
  ownErrorMargin(
    { objectiveLeft, priority }: Pick<Offer, "objectiveLeft" | "priority">,
    now: Milliseconds,
  ): Milliseconds {
    if (!this.#hasOtherRanks(priority, now)) {
      return 0;
    }
    const error = Math.min(
      objectiveLeft * MAX_ERROR_SHARE,
      this.estimateErrors.value(now),
    );
    return Math.max(0, error - sheddingTimes.firstTokenOverhead);
  }

  /** Whether there is demand at another rank. */
  #hasOtherRanks(priority: number, now: Milliseconds): boolean {
    for (const other of this.objectives.keys()) {
      if (other !== priority && this.sums(other, now).asked > 0) {
        return true;
      }
    }
    return false;
  }

  /** Whether requests of different ranks or workspaces compete. */
  isShared(now: Milliseconds): boolean {
    if (this.objectives.size > 1) {
      return true;
    }
    const names = new Set<string>();
    for (const { workspace } of this.#currentTotals(now)?.rows ?? []) {
      names.add(workspace);
    }
    for (const rank of this.#ranks.values()) {
      for (const name of rank.view(undefined, now).rows.keys()) {
        names.add(name);
      }
    }
    return names.size > 1;
  }

  /** Demand of this entry; undefined while the service isn't short. */
  report(now: Milliseconds): readonly DemandRow[] | undefined {
    this.#removeIdle(now);
    if (!this.#isShort(now) || !this.isShared(now)) {
      return undefined;
    }
    const rows: DemandRow[] = [];
    for (const rank of this.#ranks.values()) {
      rows.push(...rank.rows(now));
    }
    return rows.length > 0 ? limitRows(rows) : undefined;
  }

  /** Whether this entry or another one refused requests lately. */
  #isShort(now: Milliseconds): boolean {
    // Sums show no refusals once all entries admit everything, so that entries
    // don't report for each other's sake.
    const rows = this.#currentTotals(now)?.rows ?? [];
    return now - this.#refusedAt < demandLimits.window ||
      rows.some(({ asked, admitted }) => asked > admitted);
  }

  #currentTotals(now: Milliseconds): Totals | undefined {
    const totals = this.#totals;
    return totals !== undefined && now - totals.at < demandLimits.window
      ? totals
      : undefined;
  }

  #removeIdle(now: Milliseconds): void {
    if (now - this.#cleanedAt >= CLEANUP_INTERVAL) {
      this.#cleanedAt = now;
      for (const rank of this.#ranks.values()) {
        rank.removeIdle(now);
      }
    }
  }
}
