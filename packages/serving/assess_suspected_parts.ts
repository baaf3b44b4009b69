import type { Milliseconds } from "@heroncleat/base";
import { crashProbability } from "./crash_probability.ts";
import type { CrashedRun } from "./crashed_run.ts";
import type { InstanceCrash } from "./instance_crash.ts";
import type { RejectedPart } from "./rejected_part.ts";
import { successiveRuns } from "./successive_runs.ts";

/** Successive crashes from which on a part may be rejected. */
const MIN_CRASHES = 5;
/** Crashes of a part beyond those of one rejected request. */
const MIN_UNEXPLAINED_CRASHES = 2;
/**
 * A part is rejected only if a harmless one would meet as many crashes with less
 * than this probability.
 */
const MAX_COINCIDENCE_PROBABILITY = 1e-8;
/**
 * Times around a crash over which the rate of crashes is measured: upstreams end
 * in waves, and now and then for longer. The higher rate counts.
 */
const RATE_WINDOWS: readonly Milliseconds[] = [1000, 10_000];
/**
 * Time after a crash in which reports of runs there may be outstanding: the
 * upstream of a response that ended with its connection is probed later.
 */
const REPORT_TIMEOUT: Milliseconds = 400;
/**
 * Time for which a part is rejected. From the sixth crash on it doubles with
 * each further one: those are due to requests that were sent to see whether the
 * upstreams handle the part by now.
 */
const REJECTION_DURATION: Milliseconds = 600_000;
const CRASHES_BEFORE_DOUBLING = 5;
const MAX_DOUBLINGS = 7;

/** A prompt part and the crashes during its runs since it last completed. */
type PartHistory = {
  /** Its key. */
  readonly request: string;
  readonly service: string;
  readonly runs: readonly CrashedRun[];
  /** Largest number of upstreams of its service known at these crashes. */
  readonly upstreams: number;
};

/** What parts are assessed against. */
type PartContext = {
  /** Recent instance crashes, by instance ID. */
  readonly instanceCrashes: ReadonlyMap<string, InstanceCrash>;
  /** Instances that each rejected request has crashed. */
  readonly crashedByRequests: readonly ReadonlySet<string>[];
  readonly countUpstreams: (service: string) => number;
  readonly now: Milliseconds;
};

/**
 * Tells the prompt parts that crash upstreams from those that were only in
 * prompts that ran there: the least likely coincidence is held responsible.
 * Parts of the same crashed runs are rejected together only.
 *
 * @returns The rejected parts.
 */
export function assessSuspectedParts(
  parts: Iterable<PartHistory>,
  context: PartContext,
): Map<string, RejectedPart> {
  const attributed = new Set<string>();
  const rejected = new Map<string, RejectedPart>();
  const unexplained = [...parts].filter((part) =>
    !isExplainedByRequest(part, context.crashedByRequests)
  );
  let candidates = unexplained;
  while (true) {
    candidates = withoutAttributed(candidates, attributed);
    const likeliest = findLeastCoincidental(candidates, {
      ...context,
      attributed,
    });
    if (likeliest === undefined) {
      return rejected;
    }
    const settled = likeliest.runs.filter(({ endedAt }) =>
      endedAt <= context.now - REPORT_TIMEOUT
    );
    const together = unexplained.filter((other) =>
      other.service === likeliest.service && !rejected.has(other.request) &&
      hasMet(other, settled)
    ).map(({ request }) => request);
    const period = rejectionPeriod(likeliest.runs);
    for (const part of together) {
      rejected.set(part, { ...period, together });
    }
    for (const { upstream } of likeliest.runs) {
      attributed.add(upstream);
    }
  }
}

/**
 * Whether one rejected request has crashed nearly all upstreams that a part was
 * on. Several such requests may crash them by a part that they have in common.
 */
function isExplainedByRequest(
  { runs }: PartHistory,
  crashedByRequests: readonly ReadonlySet<string>[],
): boolean {
  return crashedByRequests.some((crashed) =>
    runs.filter(({ upstream }) => !crashed.has(upstream)).length <
      MIN_UNEXPLAINED_CRASHES
  );
}

/** The parts that may still be rejected, with the crashes not explained yet. */
function withoutAttributed(
  candidates: readonly PartHistory[],
  attributed: ReadonlySet<string>,
): PartHistory[] {
  const remaining: PartHistory[] = [];
  for (const candidate of candidates) {
    const runs = candidate.runs.filter(({ upstream }) =>
      !attributed.has(upstream)
    );
    if (runs.length >= MIN_CRASHES) {
      remaining.push({ ...candidate, runs });
    }
  }
  return remaining;
}

function findLeastCoincidental(
  candidates: readonly PartHistory[],
  context: PartContext & { readonly attributed: ReadonlySet<string> },
): PartHistory | undefined {
  let least: PartHistory | undefined;
  let leastProbability = MAX_COINCIDENCE_PROBABILITY;
  for (const candidate of candidates) {
    const probability = coincidenceProbability(candidate, context);
    if (
      probability <= leastProbability && !isCovered(candidate, candidates)
    ) {
      least = candidate;
      leastProbability = probability;
    }
  }
  return least;
}

/**
 * Whether another part has been on all upstreams that crashed under a part, and
 * on more: it is the likelier cause.
 */
function isCovered(
  { service, runs }: PartHistory,
  candidates: readonly PartHistory[],
): boolean {
  return candidates.some((other) =>
    other.service === service && other.runs.length > runs.length &&
    hasMet(other, runs)
  );
}

/** Whether a part has been on all upstreams that crashed under these runs. */
function hasMet(part: PartHistory, runs: readonly CrashedRun[]): boolean {
  const crashed = new Set(part.runs.map(({ upstream }) => upstream));
  return runs.every(({ upstream }) => crashed.has(upstream));
}

/**
 * Probability that a harmless part meets as many crashes in the run time that it
 * had on upstreams that crashed, at the rates at which upstreams crashed then.
 */
function coincidenceProbability(
  { service, runs, upstreams }: PartHistory,
  { instanceCrashes, attributed, countUpstreams }: PartContext & {
    readonly attributed: ReadonlySet<string>;
  },
): number {
  const successive = successiveRuns(runs);
  if (successive.length < MIN_CRASHES) {
    return 1;
  }
  const own = new Set(runs.map(({ upstream }) => upstream));
  const crashTimes = runs.map(({ endedAt }) => endedAt);
  for (const [upstream, { service: other, at }] of instanceCrashes) {
    const isKnown = own.has(upstream) || attributed.has(upstream);
    if (other === service && !isKnown) {
      crashTimes.push(at);
    }
  }
  const count = Math.max(1, upstreams, countUpstreams(service));
  let expected = 0;
  for (const { sentAt, endedAt } of successive) {
    expected += (endedAt - sentAt) * rateAround(endedAt, crashTimes) / count;
  }
  return crashProbability(successive.length, expected);
}

/** Crashes per ms around a time. */
function rateAround(
  time: Milliseconds,
  crashTimes: readonly Milliseconds[],
): number {
  const rates = RATE_WINDOWS.map((window) =>
    crashTimes.filter((at) => Math.abs(at - time) <= window / 2).length / window
  );
  return Math.max(...rates);
}

function rejectionPeriod(
  runs: readonly CrashedRun[],
): Pick<RejectedPart, "from" | "until"> {
  const doublings = Math.min(
    MAX_DOUBLINGS,
    Math.max(0, runs.length - CRASHES_BEFORE_DOUBLING),
  );
  const from = Math.max(...runs.map(({ endedAt }) => endedAt));
  return { from, until: from + REJECTION_DURATION * 2 ** doublings };
}
