import type { Milliseconds } from "@heroncleat/base";
import type { DemandRow } from "./demand_row.ts";
import { maxMinLevel } from "./max_min_level.ts";
import { RecentQuantile } from "./recent_quantile.ts";
import { WorkspaceDemand } from "./workspace_demand.ts";

/** Prefill time that most requests of a rank don't exceed. */
const TYPICAL_QUANTILE = 0.9;
/** Time for which a computed view is reused. */
const VIEW_LIFETIME: Milliseconds = 50;
/** Part of the demand that must be refused for shares to apply. */
const MIN_REFUSED_SHARE = 0.02;
/**
 * Part of the admitted engine time that is divided into shares. The rest goes
 * to requests beyond them, so that requests within a share find a short queue
 * even while the capacity shrinks.
 */
const DIVIDED_SHARE = 0.95;

/** Demand at one rank as far as it is known, and its max-min fair level. */
type DemandView = {
  readonly at: Milliseconds;
  readonly totals: readonly DemandRow[] | undefined;
  readonly rows: ReadonlyMap<string, DemandRow>;
  readonly asked: Milliseconds;
  readonly admitted: Milliseconds;
  readonly level: Milliseconds;
};

/** Demand for one rank of a service. @internal */
export class RankDemand {
  readonly priority: number;
  readonly #workspaces = new Map<string, WorkspaceDemand>();
  readonly #prefillTimes = new RecentQuantile(TYPICAL_QUANTILE);
  /** Of this entry alone, and of all entries. */
  readonly #views: { own?: DemandView; total?: DemandView } = {};

  constructor(priority: number) {
    this.priority = priority;
  }

  workspace(name: string): WorkspaceDemand {
    let workspace = this.#workspaces.get(name);
    if (workspace === undefined) {
      workspace = new WorkspaceDemand();
      this.#workspaces.set(name, workspace);
    }
    return workspace;
  }

  recordPrefillTime(prefillTime: Milliseconds, now: Milliseconds): void {
    this.#prefillTimes.record(prefillTime, now);
  }

  /** Prefill time that most requests of this entry don't exceed. */
  prefillTime(now: Milliseconds): Milliseconds {
    return this.#prefillTimes.value(now);
  }

  /**
   * Demand of all entries, or of this one alone.
   *
   * @param totals Sums over all entries at this rank; undefined if unknown.
   */
  view(
    totals: readonly DemandRow[] | undefined,
    now: Milliseconds,
  ): DemandView {
    const kind = totals === undefined ? "own" : "total";
    const view = this.#views[kind];
    const isCurrent = view !== undefined && view.totals === totals &&
      now - view.at < VIEW_LIFETIME;
    return isCurrent ? view : this.#views[kind] = this.#createView(totals, now);
  }

  /** Share of a workspace's demand that is within its fair share, to 1. */
  share(
    workspace: string,
    totals: readonly DemandRow[] | undefined,
    now: Milliseconds,
  ): number {
    const { level, rows } = this.view(totals, now);
    const asked = rows.get(workspace)?.asked ?? 0;
    return asked > level ? level / asked : 1;
  }

  /** Accepted requests of a workspace at this entry per second, roughly. */
  returnRate(workspace: WorkspaceDemand, now: Milliseconds): number {
    let rankCount = 0;
    for (const { window } of this.#workspaces.values()) {
      rankCount += window.sums(now).admittedCount;
    }
    const ownCount = workspace.window.sums(now).admittedCount;
    return Math.max(1, ownCount, rankCount / this.#workspaces.size) / 2;
  }

  /** Demand of this entry in whole milliseconds. */
  rows(now: Milliseconds): DemandRow[] {
    const rows: DemandRow[] = [];
    for (const [workspace, { window }] of this.#workspaces) {
      const { asked, admitted } = window.sums(now);
      if (asked > 0) {
        rows.push({
          priority: this.priority,
          workspace,
          asked: Math.ceil(asked),
          admitted: Math.ceil(admitted),
        });
      }
    }
    return rows;
  }

  /** Removes workspaces without demand. */
  removeIdle(now: Milliseconds): void {
    for (const [name, { window }] of this.#workspaces) {
      if (window.sums(now).asked === 0) {
        this.#workspaces.delete(name);
      }
    }
  }

  #createView(
    totals: readonly DemandRow[] | undefined,
    now: Milliseconds,
  ): DemandView {
    const rows = totals ?? this.rows(now);
    const asked = rows.reduce((sum, row) => sum + row.asked, 0);
    const admitted = rows.reduce((sum, row) => sum + row.admitted, 0);
    // One workspace has nothing to share, and without admitted requests the
    // capacity isn't known.
    const isShort = rows.length > 1 && admitted > 0 &&
      asked - admitted > asked * MIN_REFUSED_SHARE;
    return {
      at: now,
      totals,
      rows: new Map(rows.map((row) => [row.workspace, row])),
      asked,
      admitted,
      level: isShort
        ? maxMinLevel(rows.map((row) => row.asked), admitted * DIVIDED_SHARE)
        : Infinity,
    };
  }
}
