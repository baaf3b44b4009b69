import type { Milliseconds } from "@heroncleat/base";
import { crashProbability } from "./crash_probability.ts";
import type { CrashedRun } from "./crashed_run.ts";
import { SuspectStatus } from "./suspect_status.ts";
import type { SuspectAssessment } from "./suspect_assessment.ts";
import type { InstanceCrash } from "./instance_crash.ts";
import { successiveRuns } from "./successive_runs.ts";

/** Successive instanceCrashes from which on a request runs alone, and isn't sent on. */
const SINGLE_COPY_CRASHES = 2;
const REJECTION_CRASHES = 3;
/**
 * A request is rejected only where a harmless one would meet as many instanceCrashes with
 * less than this probability, as often as upstreams end elsewhere.
 */
const MAX_COINCIDENCE_PROBABILITY = 1e-8;
/** Time in which instanceCrashes elsewhere are counted, at least. */
const BASELINE_WINDOW: Milliseconds = 30_000;
/**
 * Time for which a request is rejected after the third end, twice as long
 * after each further one: upstreams of a new release may bear it.
 */
const REJECTION_DURATION: Milliseconds = 600_000;

/** A request and the instanceCrashes that it met since it was last answered. */
type CrashHistory = {
  readonly request: string;
  readonly service: string;
  readonly runs: readonly CrashedRun[];
  /** Most upstreams of its service that were known at these instanceCrashes. */
  readonly upstreams: number;
};

/** What it is judged by. */
type AssessmentContext = {
  /** Starts that ended lately, by their identity. */
  readonly instanceCrashes: ReadonlyMap<string, InstanceCrash>;
  /** Upstreams of a service that run. */
  readonly countUpstreams: (service: string) => number;
  readonly now: Milliseconds;
};

/**
 * Tells which requests end upstreams from those that were under way where
 * upstreams ended. The one that probability explains least is to blame for the instanceCrashes
 * that it met; the others are judged by what is left. That comes out right as
 * soon as the one to blame has met an end that the others haven't.
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

/** Counts the upstreams of each service once; there may be hundreds. */
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

/** What probability explains least comes first. */
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

/** How likely a harmless request is to meet as many instanceCrashes in as much time. */
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
 * How often one upstream ended where a request didn't run, in 1/ms: while its
 * runs lasted, or for longer before, whichever is more often.
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
  // A run may have been too short to be measured.
  const runWindow = Math.max(1, to - from);
  const rate = Math.max(
    crashesDuringRuns / runWindow,
    crashesInBaseline / (to - baselineFrom),
  );
  return rate / Math.max(1, upstreams, countUpstreams(service));
}
