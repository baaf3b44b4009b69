import type { Milliseconds } from "@heroncleat/base";
import type { UpstreamLoad } from "./upstream_load.ts";

/**
 * Time after the last report for which its requests count in full. Reports
 * arrive every 600 ms at most, and two may be lost.
 */
const REPORT_LIFETIME: Milliseconds = 2000;
/** Time within which they count less and less after that, if not learned. */
const DEFAULT_EXPIRY: Milliseconds = 1000;

/** Load of the other entries at an upstream, and when it was reported. */
type ReportedLoad = UpstreamLoad & { readonly at: Milliseconds };

/** Loads of the other entries by upstream, which expire by age. @internal */
export class ReportedLoads {
  readonly #loads = new Map<string, ReportedLoad>();
  /** When the last report arrived, also of loads that haven't changed. */
  #reportedAt: Milliseconds = -Infinity;

  replace(
    loads: Readonly<Record<string, UpstreamLoad>>,
    at: Milliseconds,
  ): void {
    this.#loads.clear();
    this.applyChanges(loads, at);
  }

  /** Applies changed loads; an empty load is removed. */
  applyChanges(
    loads: Readonly<Record<string, UpstreamLoad>>,
    at: Milliseconds,
  ): void {
    this.#reportedAt = at;
    for (const [id, load] of Object.entries(loads)) {
      if (load.requests === 0 && load.backlog === 0) {
        this.#loads.delete(id);
      } else {
        this.#loads.set(id, { ...load, at });
      }
    }
  }

  /**
   * Requests in flight of other entries. Once reports stop, those that were
   * reported are taken to end within a slot time.
   */
  requests(
    id: string,
    { now, slotTime }: {
      now: Milliseconds;
      slotTime: Milliseconds | undefined;
    },
  ): number {
    const requests = this.#loads.get(id)?.requests ?? 0;
    const overdue = now - this.#reportedAt - REPORT_LIFETIME;
    return requests === 0 || overdue <= 0
      ? requests
      : requests * Math.max(0, 1 - overdue / (slotTime ?? DEFAULT_EXPIRY));
  }

  /** Time until the prompts that other entries sent are prefilled. */
  backlog(id: string, now: Milliseconds): Milliseconds {
    const load = this.#loads.get(id);
    return load === undefined ? 0 : Math.max(0, load.backlog - (now - load.at));
  }
}
