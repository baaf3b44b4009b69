import type { Milliseconds } from "@heroncleat/base";
import { crashProbability } from "./crash_probability.ts";
import type { CrashedRun } from "./crashed_run.ts";
import { SuspectStatus } from "./suspect_status.ts";
import type { SuspectAssessment } from "./suspect_assessment.ts";
import type { InstanceCrash } from "./instance_crash.ts";
import { successiveRuns } from "./successive_runs.ts";

/**
 * Successive crashes after which an entry runs one copy of a request at a time,
 * and after which the request is rejected.
 */
const SINGLE_COPY_CRASHES = 2;
const REJECTION_CRASHES = 3;
/**
 * A request is rejected only if a harmless one would meet as many crashes with
 * less than this probability, given how often unrelated upstreams crash.
 */
const MAX_COINCIDENCE_PROBABILITY = 1e-8;
/** Minimum time over which unrelated crashes are counted. */
const BASELINE_WINDOW: Milliseconds = 30_000;
/**
 * Time for which a request is rejected after the third crash; it doubles with
 * each further crash. A later release of the upstream may handle the request.
 */
const REJECTION_DURATION: Milliseconds = 600_000;

/** A request and the crashes during its runs since it last completed. */
type CrashHistory = {
  readonly request: string;
  readonly service: string;
  readonly runs: readonly CrashedRun[];
  /**
   * Largest number of upstreams of its service that was known at these crashes.
   */
  readonly upstreams: number;
};

/** What a request is assessed against. */
type AssessmentContext = {
  /** Recent instance crashes, by instance ID. */
  readonly instanceCrashes: ReadonlyMap<string, InstanceCrash>;
  /** Counts the running upstreams of a service. */
  readonly countUpstreams: (service: string) => number;
  readonly now: Milliseconds;
};

/**
 * Tells the requests that crash upstreams from those that were running on
 * upstreams that crashed. The least likely coincidence is held responsible; the
 * other requests are assessed by their remaining crashes.
 */
export function assessSuspects(
  suspects: Iterable<CrashHistory>,
  context: AssessmentContext,
): Map<string, SuspectAssessment> {
  const assessments = new Map<string, SuspectAssessment>();
  const attributed = new Set<string>();
  const countUpstreams = memoizeCount(context.countUpstreams);
  const sharedContext = { ...context, countUpstreams };
  for (const suspect of sortByProbability(suspects, sharedContext)) {
    const assessment = assess(suspect, { ...sharedContext, attributed });
    assessments.set(suspect.request, assessment);
    if (assessment.standing === SuspectStatus.rejected) {
      for (const { upstream } of suspect.runs) {
        attributed.add(upstream);
      }
    }
  }
  return assessments;
}

/**
 * Counts the upstreams of each service once per assessment, as there may be
 * hundreds.
 */
function memoizeCount(
  count: (service: string) => number,
): (service: string) => number {
  const counts = new Map<string, number>();
  return (service) => {
    const known = counts.get(service) ?? count(service);
    counts.set(service, known);
    return known;
  };
}

/**
 * Sorts the requests by how unlikely a coincidence is, the least likely first.
 */
function sortByProbability(
  suspects: Iterable<CrashHistory>,
  context: AssessmentContext,
): CrashHistory[] {
  const attributed = new Set<string>();
  const belowThreshold: CrashHistory[] = [];
  const ranked: { suspect: CrashHistory; probability: number }[] = [];
  for (const suspect of suspects) {
    if (suspect.runs.length < REJECTION_CRASHES) {
      belowThreshold.push(suspect);
    } else {
      const probability = coincidenceProbability(suspect, {
        ...context,
        attributed,
      });
      ranked.push({ suspect, probability });
    }
  }
  ranked.sort((left, right) =>
    left.probability - right.probability ||
    right.suspect.runs.length - left.suspect.runs.length
  );
  return [...ranked.map(({ suspect }) => suspect), ...belowThreshold];
}

function assess(
  suspect: CrashHistory,
  context: AssessmentContext & { attributed: ReadonlySet<string> },
): SuspectAssessment {
  const { attributed, now } = context;
  const runs = suspect.runs.filter(({ upstream }) => !attributed.has(upstream));
  const count = runs.length < SINGLE_COPY_CRASHES
    ? runs.length
    : successiveRuns(runs).length;
  if (count >= REJECTION_CRASHES) {
    const duration = REJECTION_DURATION * 2 ** (count - REJECTION_CRASHES);
    const until = runs.at(-1)!.endedAt + duration;
    const probability = coincidenceProbability({ ...suspect, runs }, context);
    if (now < until && probability <= MAX_COINCIDENCE_PROBABILITY) {
      return { standing: SuspectStatus.rejected, until };
    }
  }
  if (count >= SINGLE_COPY_CRASHES) {
    return { standing: SuspectStatus.single, until: Infinity };
  }
  return {
    standing: count > 0 ? SuspectStatus.watched : SuspectStatus.unsuspected,
    until: Infinity,
  };
}

/**
 * Probability that a harmless request meets as many crashes in the same run
 * time.
 */
function coincidenceProbability(
  { service, runs, upstreams }: CrashHistory,
  context: AssessmentContext & { attributed: ReadonlySet<string> },
): number {
  let totalRunTime = 0;
  for (const { sentAt, endedAt } of runs) {
    totalRunTime += endedAt - sentAt;
  }
  const rate = baselineCrashRate({ service, runs, upstreams }, context);
  return crashProbability(runs.length, totalRunTime * rate);
}

/**
 * Crash rate of one upstream that didn't run the request, in 1/ms: the higher
 * of the rate during the request's runs and the rate over the longer baseline
 * window.
 */
function baselineCrashRate(
  { service, runs, upstreams }: Omit<CrashHistory, "request">,
  { instanceCrashes, attributed, countUpstreams }: AssessmentContext & {
    attributed: ReadonlySet<string>;
  },
): number {
  const ownUpstreams = new Set(runs.map(({ upstream }) => upstream));
  const from = Math.min(...runs.map(({ sentAt }) => sentAt));
  const to = runs.at(-1)!.endedAt;
  const baselineFrom = Math.min(from, to - BASELINE_WINDOW);
  let crashesDuringRuns = 0;
  let crashesInBaseline = 0;
  for (const [upstream, crash] of instanceCrashes) {
    const isUnrelated = crash.service === service && crash.at <= to &&
      !ownUpstreams.has(upstream) && !attributed.has(upstream);
    if (isUnrelated) {
      crashesDuringRuns += crash.at >= from ? 1 : 0;
      crashesInBaseline += crash.at >= baselineFrom ? 1 : 0;
    }
  }
  // Sent and crashed in the same millisecond, a run lasts 0 ms.
  const runWindow = Math.max(1, to - from);
  const rate = Math.max(
    crashesDuringRuns / runWindow,
    crashesInBaseline / (to - baselineFrom),
  );
  return rate / Math.max(1, upstreams, countUpstreams(service));
}
