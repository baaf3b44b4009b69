import type { ProcessUsage } from "./process_usage.ts";
import type { WorkspaceCounts } from "./workspace_counts.ts";

/**
 * Newest windows that are stored and forwarded; older ones have been settled.
 */
const RECENT_WINDOWS = 3;
/** Windows before the newest that are kept in case settling is delayed. */
const KEPT_WINDOWS = 24;

/**
 * Requests started in each usage window, as all entries count them. The counts
 * of one process only grow, so the maximum of all received counts is correct in
 * any order of arrival.
 *
 * @internal
 */
export class UsageTotals {
  // Maps, as names such as `__proto__` aren't plain fields of an object.
  readonly #processes = new Map<string, Map<number, Map<string, number>>>();

  /** Merges counts; windows and counts that can't be any are left out. */
  merge(usage: ProcessUsage): void {
    for (const [boot, reported] of Object.entries(usage)) {
      const windows = this.#processes.get(boot) ??
        new Map<number, Map<string, number>>();
      for (const [name, counts] of Object.entries(reported ?? {})) {
        const window = Number(name);
        const known = windows.get(window) ?? new Map<string, number>();
        mergeMaximums(known, counts ?? {});
        if (isCount(window) && known.size > 0) {
          windows.set(window, known);
        }
      }
      if (windows.size > 0) {
        this.#processes.set(boot, windows);
      }
    }
  }

  /** Counts of all processes in one window, by workspace. */
  sum(window: number): WorkspaceCounts {
    const totals = new Map<string, number>();
    for (const windows of this.#processes.values()) {
      for (const [name, count] of windows.get(window) ?? []) {
        totals.set(name, (totals.get(name) ?? 0) + count);
      }
    }
    return Object.fromEntries(totals);
  }

  /** Counts of the newest windows, to be stored or forwarded. */
  recent(): ProcessUsage {
    const newest = this.#newest;
    const usage: [string, Record<string, WorkspaceCounts>][] = [];
    for (const [boot, windows] of this.#processes) {
      const counts = [...windows]
        .filter(([window]) => window > newest - RECENT_WINDOWS)
        .map(([window, counts]) => [window, Object.fromEntries(counts)]);
      if (counts.length > 0) {
        usage.push([boot, Object.fromEntries(counts)]);
      }
    }
    return Object.fromEntries(usage);
  }

  /** Removes windows too old to be settled. */
  expire(): void {
    this.dropBefore(this.#newest - KEPT_WINDOWS);
  }

  get #newest(): number {
    let newest = -Infinity;
    for (const windows of this.#processes.values()) {
      newest = Math.max(newest, ...windows.keys());
    }
    return newest;
  }

  /** Removes windows before one, once they have been settled. */
  dropBefore(window: number): void {
    for (const [boot, windows] of this.#processes) {
      for (const known of windows.keys()) {
        if (known < window) {
          windows.delete(known);
        }
      }
      if (windows.size === 0) {
        this.#processes.delete(boot);
      }
    }
  }
}

/** Raises the known counts to the received ones. */
function mergeMaximums(
  known: Map<string, number>,
  counts: WorkspaceCounts,
): void {
  for (const [name, count] of Object.entries(counts)) {
    if (isCount(count)) {
      known.set(name, Math.max(known.get(name) ?? 0, count));
    }
  }
}

function isCount(value: number): boolean {
  return Number.isSafeInteger(value) && value >= 0;
}
