import type { Milliseconds } from "@heroncleat/base";

/** Maximum number of retained runs per route. */
const MAX_RUNS_PER_ROUTE = 64;
/** Age after which a run is ignored. */
const MAX_RUN_AGE: Milliseconds = 60_000;
/** Minimum number of runs for an estimate. */
const MIN_RUNS = 8;
/**
 * Maximum number of retained routes; the least recently used one is dropped.
 */
const MAX_ROUTES = 2000;

/** A run in progress. */
type ActiveRun = {
  readonly startedAt: Milliseconds;
  /** Requested maximum amount of work, such as tokens; 0 if unspecified. */
  readonly size: number;
};

/** A completed run. */
type CompletedRun = {
  readonly endedAt: Milliseconds;
  readonly took: Milliseconds;
  readonly size: number;
};

/** Recent and current runs of one route. */
type RouteRuns = {
  readonly completed: CompletedRun[];
  readonly active: Set<ActiveRun>;
};

/**
 * Durations of the recent runs of each route, from which the maximum duration
 * of the next run is estimated.
 *
 * @public
 * @example
 * const end = runDurations.begin("drafts", { startedAt, size: 120 });
 * end({ endedAt, isComplete: true });
 * runDurations.estimateLongest("drafts", { size: 80, now });
 */
export class RunDurations {
  readonly #routes = new Map<string, RouteRuns>();

  /**
   * Records the begin of a run.
   *
   * @returns Callback for the end of the run; incomplete runs are ignored.
   */
  begin(
    route: string,
    run: ActiveRun,
  ): (ending: { endedAt: Milliseconds; isComplete: boolean }) => void {
    const { completed, active } = this.#runsOf(route);
    active.add(run);
    return ({ endedAt, isComplete }) => {
      active.delete(run);
      if (isComplete) {
        const { startedAt, size } = run;
        completed.push({ endedAt, took: endedAt - startedAt, size });
      }
      if (completed.length > MAX_RUNS_PER_ROUTE) {
        completed.shift();
      }
    };
  }

  /**
   * Estimates the longest duration of a run of the given size: a linear fit,
   * shifted up to the run farthest above it. Runs in progress count, as long
   * ones complete last.
   *
   * @returns The duration; undefined with too few recent runs.
   */
  estimateLongest(
    route: string,
    { size, now }: { size: number; now: Milliseconds },
  ): Milliseconds | undefined {
    const runs = this.#routes.get(route);
    const recent = (runs?.completed ?? []).filter(({ endedAt }) =>
      now - endedAt <= MAX_RUN_AGE
    );
    if (runs === undefined || recent.length < MIN_RUNS) {
      return undefined;
    }
    const slope = slopeOf(recent);
    let maxIntercept = -Infinity;
    for (const run of recent) {
      maxIntercept = Math.max(maxIntercept, run.took - slope * run.size);
    }
    for (const run of runs.active) {
      maxIntercept = Math.max(
        maxIntercept,
        now - run.startedAt - slope * run.size,
      );
    }
    return maxIntercept + slope * size;
  }

  #runsOf(route: string): RouteRuns {
    const runs = this.#routes.get(route) ??
      { completed: [], active: new Set() };
    // Map order keeps the most recently used route last.
    this.#routes.delete(route);
    this.#routes.set(route, runs);
    if (this.#routes.size > MAX_ROUTES) {
      const [oldest] = this.#routes.keys();
      this.#routes.delete(oldest!);
    }
    return runs;
  }
}

/** Least-squares slope, at least 0, as larger requests don't run shorter. */
function slopeOf(runs: readonly CompletedRun[]): number {
  const meanSize = mean(runs.map(({ size }) => size));
  const meanTime = mean(runs.map(({ took }) => took));
  let covariance = 0;
  let variance = 0;
  for (const { size, took } of runs) {
    covariance += (size - meanSize) * (took - meanTime);
    variance += (size - meanSize) ** 2;
  }
  return variance === 0 ? 0 : Math.max(0, covariance / variance);
}

function mean(values: readonly number[]): number {
  return values.reduce((sum, value) => sum + value, 0) / values.length;
}
