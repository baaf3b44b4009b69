import type { Milliseconds } from "@heroncleat/base";
import type { LongestRun } from "./longest_run.ts";

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

/** A run that has ended. */
type EndedRun = {
  readonly endedAt: Milliseconds;
  /** Less than the run would have taken if it isn't complete. */
  readonly took: Milliseconds;
  readonly size: number;
  readonly isComplete: boolean;
};

/** Recent and current runs of one route. */
type RouteRuns = {
  readonly completed: EndedRun[];
  readonly cut: EndedRun[];
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
 * runDurations.findLongest("drafts", { size: 80, now });
 */
export class RunDurations {
  readonly #routes = new Map<string, RouteRuns>();

  /**
   * Records the begin of a run.
   *
   * @returns Callback for the end of the run. One that was cut off counts as at
   * least as long as it lasted.
   */
  begin(
    route: string,
    run: ActiveRun,
  ): (ending: { endedAt: Milliseconds; isComplete: boolean }) => void {
    const { completed, cut, active } = this.#runsOf(route);
    active.add(run);
    return ({ endedAt, isComplete }) => {
      active.delete(run);
      const { startedAt, size } = run;
      const took = endedAt - startedAt;
      const ended = isComplete ? completed : cut;
      ended.push({ endedAt, took, size, isComplete });
      if (ended.length > MAX_RUNS_PER_ROUTE) {
        ended.shift();
      }
    };
  }

  /**
   * Finds the longest recent run of a route. If the size is stated, runs of
   * other sizes are scaled to it. Runs in progress count with the time that
   * they have taken, as long ones complete last.
   *
   * @param size Requested amount of work; 0 if unspecified.
   *
   * @returns Undefined with too few complete runs.
   */
  findLongest(
    route: string,
    { size, now }: { size: number; now: Milliseconds },
  ): LongestRun | undefined {
    const runs = this.#routes.get(route);
    if (runs === undefined) {
      return undefined;
    }
    const active = [...runs.active].map((run) => ({
      ...run,
      took: now - run.startedAt,
      isComplete: false,
    }));
    const recent = [
      ...[...runs.completed, ...runs.cut].filter(({ endedAt }) =>
        now - endedAt <= MAX_RUN_AGE
      ),
      ...active,
    ];
    return findLongestOf(
      size > 0 ? recent.filter((run) => run.size > 0) : recent,
      size,
    );
  }

  #runsOf(route: string): RouteRuns {
    const runs = this.#routes.get(route) ??
      { completed: [], cut: [], active: new Set() };
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

type TimedRun = Pick<EndedRun, "took" | "size" | "isComplete">;

/** The longest of some runs, each scaled to the same size if one is stated. */
function findLongestOf(
  runs: readonly TimedRun[],
  size: number,
): LongestRun | undefined {
  const complete = runs.filter(({ isComplete }) => isComplete);
  if (complete.length < MIN_RUNS) {
    return undefined;
  }
  const slope = size > 0 ? slopeOf(complete) : 0;
  let duration = 0;
  for (const run of runs) {
    duration = Math.max(duration, scaleTo(size, { run, slope }));
  }
  return { duration, runCount: complete.length };
}

/**
 * Shifts a duration along the fit, though never below its share of the work: a
 * fit of runs of similar sizes has no slope.
 */
function scaleTo(
  size: number,
  { run, slope }: { run: TimedRun; slope: number },
): Milliseconds {
  if (size === 0) {
    return run.took;
  }
  return Math.max(
    run.took * (size / run.size),
    run.took + slope * (size - run.size),
  );
}

/** Least-squares slope, at least 0, as larger requests don't run shorter. */
function slopeOf(runs: readonly TimedRun[]): number {
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
