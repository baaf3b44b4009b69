import type { WorkspaceCounts } from "./workspace_counts.ts";
import type { Milliseconds } from "@heroncleat/base";

/** Windows kept for a collector that is late. */
const KEPT_WINDOWS = 8;

/**
 * Requests of each workspace that started in each window of the estimated
 * wall-clock time, as one entry counts them.
 *
 * @public
 */
export class UsageCounts {
  readonly #window: Milliseconds;
  readonly #counts = new Map<number, Map<string, number>>();

  constructor(window: Milliseconds) {
    this.#window = window;
  }

  /**
   * Counts a request.
   *
   * @param startedAt Estimated wall-clock time in ms since 1970.
   */
  count(workspace: string, startedAt: Milliseconds): void {
    const window = Math.floor(startedAt / this.#window);
    const counts = this.#counts.get(window) ?? new Map<string, number>();
    counts.set(workspace, (counts.get(workspace) ?? 0) + 1);
    this.#counts.set(window, counts);
    for (const known of this.#counts.keys()) {
      if (known < window - KEPT_WINDOWS) {
        this.#counts.delete(known);
      }
    }
  }

  /** Counts of all kept windows, by window number. */
  list(): Record<string, WorkspaceCounts> {
    const windows: Record<string, WorkspaceCounts> = {};
    for (const [window, counts] of this.#counts) {
      windows[window] = Object.fromEntries(counts);
    }
    return windows;
  }
}
