import {
  createSeededRandom,
  type Milliseconds,
  type Random,
} from "@heroncleat/base";
import { SoakDeployment } from "./soak_deployment.ts";
import type { Finding } from "./finding.ts";
import type { ProgramAdapter } from "./program_adapter.ts";
import type { FaultMode } from "./fault_mode.ts";
import { pause } from "./pause.ts";
import type { RequestKind } from "./request_kind.ts";
import type { StopCounts } from "./stop_counts.ts";
import type { RequestSummary } from "./request_tally.ts";

const MEASURED_TIME: Milliseconds = 4000;
/** Share of the requests that must be served after recovery. */
const MIN_SERVED_SHARE = 0.95;

/** Random number streams reserved for each seed. */
const STREAMS_PER_SEED = 16;
/** 2^32 divided by the golden ratio: Fibonacci hashing. */
const HASH_MULTIPLIER = 0x9e3779b1;

/** Result of a soak. @public */
export type SoakReport = {
  readonly seed: number;
  readonly findings: readonly Finding[];
  /** Number of runs of each fault scenario, by function name. */
  readonly troubles: Readonly<Record<string, number>>;
  readonly leaves: number;
  /** Runs whose connections were closed at sound upstreams. */
  readonly closedRuns: number;
  /** Longest time for which the soak's own process stood still. */
  readonly longestStall: Milliseconds;
  /** Share of the time in which that process had work to do. */
  readonly utilization: number;
  /** Most memory that a process had, in MiB. */
  readonly peakMemory: number;
  /**
   * Longest time in ms from an acknowledged departure to a request received
   * after it: from undisturbed VMs, the same of first tries, and from any.
   */
  readonly latest: {
    readonly undisturbed: number;
    readonly firstTry: number;
    readonly any: number;
  };
  /**
   * Attempts to resume a stream; those that must go on, as the entry was
   * undisturbed and two upstreams of the version served; and those that did.
   */
  readonly resumes: {
    readonly all: number;
    readonly sent: number;
    readonly wentOn: number;
    /** The same while only the last upstreams of the version are left. */
    readonly atLast: { readonly sent: number; readonly wentOn: number };
    /** Streams that upstreams got after their acknowledged departures. */
    readonly whileDraining: number;
  };
  /** Rests that upstreams asked for, and entries told that one leaves. */
  readonly statements: { readonly rests: number; readonly departures: number };
  /** Number of upstreams that each crashing request crashed. */
  readonly crashes: readonly number[];
  /** Planned stops, and what became of attempts at entries that stop. */
  readonly stops: number;
  readonly besideStops: Omit<StopCounts, "record">;
  /** Requests over all their tries, by kind. */
  readonly requests: ReadonlyMap<RequestKind, RequestSummary>;
  /** Requests by HTTP status; 0 stands for no complete response. */
  readonly outcomes: Readonly<Record<string, number>>;
};

/**
 * Runs a deployment of real processes, injects faults for a time, and checks
 * its guarantees from what callers and upstreams observe.
 *
 * The seed determines the sequence of fault scenarios. Their targets and exact
 * times also depend on scheduling, so a failing seed may need several runs to
 * fail again.
 *
 * @public
 */
export async function runSoak(options: {
  seed: number;
  duration: Milliseconds;
  faults: FaultMode;
  adapter: ProgramAdapter;
  folder: string;
  /** Index among concurrent soaks; each slot uses different addresses. */
  slot: number;
  /** Memory beyond which a process is killed. */
  memoryLimitMib: number;
  /** Ends the soak early; the report covers the time until then. */
  signal: AbortSignal;
}): Promise<SoakReport> {
  const random = createRandomStream(options.seed, 0);
  const deployment = new SoakDeployment({ ...options, random });
  const scenarioCounts: Record<string, number> = {};
  const finished = new AbortController();
  try {
    await Promise.race([
      injectFaults(deployment, options, scenarioCounts),
      aborted(options, finished.signal),
    ]);
  } finally {
    finished.abort();
    await deployment.stop();
  }
  const { findings, crashes, streams, statements, drains, runs } =
    deployment.checks;
  const { latest, latestFirstTry } = drains;
  return {
    seed: options.seed,
    findings,
    troubles: scenarioCounts,
    leaves: drains.departureCount,
    closedRuns: runs.closed,
    longestStall: Math.round(deployment.stalls.longest),
    utilization: deployment.stalls.utilization,
    peakMemory: Math.round(deployment.memory.peak),
    crashes,
    statements: statements.counts,
    resumes: {
      ...streams.resumed,
      all: streams.resumes,
      atLast: streams.resumedAtLast,
      whileDraining: drains.continued,
    },
    latest: {
      undisturbed: Math.round(latest.undisturbed),
      firstTry: Math.round(latestFirstTry),
      any: Math.round(latest.any),
    },
    stops: deployment.stops.count,
    besideStops: runs.besideStops,
    requests: deployment.tally.summarize(),
    outcomes: Object.fromEntries(deployment.outcomes),
  };
}

async function injectFaults(
  deployment: SoakDeployment,
  { duration, seed, faults }: {
    duration: Milliseconds;
    seed: number;
    faults: FaultMode;
  },
  scenarioCounts: Record<string, number>,
): Promise<void> {
  await deployment.start();
  await faults.inject(deployment, {
    until: performance.now() + duration,
    note: (name) => scenarioCounts[name] = (scenarioCounts[name] ?? 0) + 1,
    createRandom: (stream) => createRandomStream(seed, stream),
  });
  await pause(faults.recoveryTime);
  await checkServed(deployment);
  deployment.checks.streams.finish();
  const problem = await deployment.documents.findProblem();
  if (problem !== undefined) {
    deployment.checks.report("configuration", problem);
  }
}

/**
 * Creates one of the independent random number streams of a seed. The hash
 * keeps adjacent seeds from starting with similar numbers.
 */
function createRandomStream(seed: number, stream: number): Random {
  return createSeededRandom(
    Math.imul(seed * STREAMS_PER_SEED + stream, HASH_MULTIPLIER),
  );
}

/** Resolves when the soak is aborted, unless it finishes first. */
function aborted(
  { signal }: { signal: AbortSignal },
  finished: AbortSignal,
): Promise<void> {
  return new Promise((resolve) => {
    const options = { once: true, signal: finished };
    signal.addEventListener("abort", () => resolve(), options);
  });
}

async function checkServed(deployment: SoakDeployment): Promise<void> {
  const before = new Map(deployment.outcomes);
  await pause(MEASURED_TIME);
  let total = 0;
  let served = 0;
  for (const [status, count] of deployment.outcomes) {
    const added = count - (before.get(status) ?? 0);
    total += added;
    served += status === 200 ? added : 0;
  }
  if (total === 0 || served < MIN_SERVED_SHARE * total) {
    deployment.checks.report(
      "recovery",
      `${served} of ${total} requests were served after the faults ended`,
    );
  }
}
