import type { Milliseconds } from "@heroncleat/base";

/** Runs of a route that are remembered. */
const MOST_RUNS = 64;
/** Age at which a run says nothing of the next one any more. */
const MOST_AGE: Milliseconds = 60_000;
/** Fewer runs than this say too little. */
const LEAST_RUNS = 8;
/** Routes that are remembered; the one that ran longest ago goes first. */
const MOST_ROUTES = 2000;

/** A run that is under way. */
type OpenRun = {
  readonly startedAt: Milliseconds;
  /** What its caller asked for at most, such as tokens; 0 where not said. */
  readonly size: number;
};

/** A run that came to its end. */
type EndedRun = {
  readonly endedAt: Milliseconds;
  readonly took: Milliseconds;
  readonly size: number;
};

/** Runs of one route. */
type RouteRuns = { readonly ended: EndedRun[]; readonly open: Set<OpenRun> };

/**
 * How long the runs of each route took lately, to tell how long the next one
 * may take at most.
 *
 * @public
 * @example
 * const end = runTimes.begin("drafts", { startedAt, size: 120 });
 * end({ endedAt, isWhole: true });
 * runTimes.longest("drafts", { size: 80, now });
 */
export class RunTimes {
  readonly #routes = new Map<string, RouteRuns>();

  /**
   * Notes that a run begins.
   *
   * @returns Call it when the run ends; one that isn't whole says nothing.
   */
  begin(
    route: string,
    run: OpenRun,
  ): (ending: { endedAt: Milliseconds; isWhole: boolean }) => void {
    const { ended, open } = this.#runsOf(route);
    open.add(run);
    return ({ endedAt, isWhole }) => {
      open.delete(run);
      if (isWhole) {
        const { startedAt, size } = run;
        ended.push({ endedAt, took: endedAt - startedAt, size });
      }
      if (ended.length > MOST_RUNS) {
        ended.shift();
      }
    };
  }

  /**
   * The longest time that a run of this size is likely to take: a line through
   * the times by size, moved up to the run that lies highest above it. Those
   * under way count with the time that they have taken so far, as the longest
   * of a time of change are among them.
   *
   * @returns undefined where too little is known.
   */
  longest(
    route: string,
    { size, now }: { size: number; now: Milliseconds },
  ): Milliseconds | undefined {
    const runs = this.#routes.get(route);
    const ended = (runs?.ended ?? []).filter(({ endedAt }) =>
      now - endedAt <= MOST_AGE
    );
    if (runs === undefined || ended.length < LEAST_RUNS) {
      return undefined;
    }
    const slope = slopeOf(ended);
    let most = -Infinity;
    for (const run of ended) {
      most = Math.max(most, run.took - slope * run.size);
    }
    for (const run of runs.open) {
      most = Math.max(most, now - run.startedAt - slope * run.size);
    }
    return most + slope * size;
  }

  #runsOf(route: string): RouteRuns {
    const runs = this.#routes.get(route) ?? { ended: [], open: new Set() };
    // The newest stands last.
    this.#routes.delete(route);
    this.#routes.set(route, runs);
    if (this.#routes.size > MOST_ROUTES) {
      const [oldest] = this.#routes.keys();
      this.#routes.delete(oldest!);
    }
    return runs;
  }
}

/** Least squares; more that is asked for never takes less time. */
function slopeOf(runs: readonly EndedRun[]): number {
  const meanSize = mean(runs.map(({ size }) => size));
  const meanTime = mean(runs.map(({ took }) => took));
  let together = 0;
  let squares = 0;
  for (const { size, took } of runs) {
    together += (size - meanSize) * (took - meanTime);
    squares += (size - meanSize) ** 2;
  }
  return squares === 0 ? 0 : Math.max(0, together / squares);
}

function mean(values: readonly number[]): number {
  return values.reduce((sum, value) => sum + value, 0) / values.length;
}
