import type { Milliseconds } from "@heroncleat/base";
import { chanceOfEnds } from "./chance_of_ends.ts";
import type { CrashedRun } from "./crashed_run.ts";
import { CrashStanding } from "./crash_standing.ts";
import type { Judgement } from "./judgement.ts";
import type { KnownEnd } from "./known_end.ts";
import { successiveRuns } from "./successive_runs.ts";

/** Successive ends from which on a request runs alone, and isn't sent on. */
const SINGLE_FROM = 2;
const REJECTED_FROM = 3;
/**
 * A request is rejected only where a harmless one would meet as many ends with
 * less than this probability, as often as upstreams end elsewhere.
 */
const MOST_CHANCE = 1e-8;
/** Time in which ends elsewhere are counted, at least. */
const ELSEWHERE_WINDOW: Milliseconds = 30_000;
/**
 * Time for which a request is rejected after the third end, twice as long
 * after each further one: upstreams of a new release may bear it.
 */
const REJECTED_FOR: Milliseconds = 600_000;

/** A request and the ends that it met since it was last answered. */
type MetEnds = {
  readonly request: string;
  readonly service: string;
  readonly runs: readonly CrashedRun[];
  /** Most upstreams of its service that were known at these ends. */
  readonly upstreams: number;
};

/** What it is judged by. */
type Circumstances = {
  /** Starts that ended lately, by their identity. */
  readonly ends: ReadonlyMap<string, KnownEnd>;
  /** Upstreams of a service that run. */
  readonly countUpstreams: (service: string) => number;
  readonly now: Milliseconds;
};

/**
 * Tells which requests end upstreams from those that were under way where
 * upstreams ended. The one that chance explains least is to blame for the ends
 * that it met; the others are judged by what is left. That comes out right as
 * soon as the one to blame has met an end that the others haven't.
 */
export function judgeSuspects(
  suspects: Iterable<MetEnds>,
  circumstances: Circumstances,
): Map<string, Judgement> {
  const judgements = new Map<string, Judgement>();
  const explained = new Set<string>();
  const countUpstreams = countOnce(circumstances.countUpstreams);
  const common = { ...circumstances, countUpstreams };
  for (const suspect of byChance(suspects, common)) {
    const judgement = judge(suspect, { ...common, explained });
    judgements.set(suspect.request, judgement);
    if (judgement.standing === CrashStanding.rejected) {
      for (const { upstream } of suspect.runs) {
        explained.add(upstream);
      }
    }
  }
  return judgements;
}

/** Counts the upstreams of each service once; there may be hundreds. */
function countOnce(
  count: (service: string) => number,
): (service: string) => number {
  const counts = new Map<string, number>();
  return (service) => {
    const known = counts.get(service) ?? count(service);
    counts.set(service, known);
    return known;
  };
}

/** What chance explains least comes first. */
function byChance(
  suspects: Iterable<MetEnds>,
  circumstances: Circumstances,
): MetEnds[] {
  const explained = new Set<string>();
  const few: MetEnds[] = [];
  const weighed: { suspect: MetEnds; chance: number }[] = [];
  for (const suspect of suspects) {
    if (suspect.runs.length < REJECTED_FROM) {
      few.push(suspect);
    } else {
      const chance = chanceOf(suspect, { ...circumstances, explained });
      weighed.push({ suspect, chance });
    }
  }
  weighed.sort((left, right) =>
    left.chance - right.chance ||
    right.suspect.runs.length - left.suspect.runs.length
  );
  return [...weighed.map(({ suspect }) => suspect), ...few];
}

function judge(
  suspect: MetEnds,
  circumstances: Circumstances & { explained: ReadonlySet<string> },
): Judgement {
  const { explained, now } = circumstances;
  const runs = suspect.runs.filter(({ upstream }) => !explained.has(upstream));
  const count = runs.length < SINGLE_FROM
    ? runs.length
    : successiveRuns(runs).length;
  if (count >= REJECTED_FROM) {
    const lasts = REJECTED_FOR * 2 ** (count - REJECTED_FROM);
    const until = runs.at(-1)!.endedAt + lasts;
    const chance = chanceOf({ ...suspect, runs }, circumstances);
    if (now < until && chance <= MOST_CHANCE) {
      return { standing: CrashStanding.rejected, until };
    }
  }
  if (count >= SINGLE_FROM) {
    return { standing: CrashStanding.single, until: Infinity };
  }
  return {
    standing: count > 0 ? CrashStanding.watched : CrashStanding.unsuspected,
    until: Infinity,
  };
}

/** How likely a harmless request is to meet as many ends in as much time. */
function chanceOf(
  { service, runs, upstreams }: MetEnds,
  circumstances: Circumstances & { explained: ReadonlySet<string> },
): number {
  let ran = 0;
  for (const { sentAt, endedAt } of runs) {
    ran += endedAt - sentAt;
  }
  const rate = rateElsewhere({ service, runs, upstreams }, circumstances);
  return chanceOfEnds(runs.length, ran * rate);
}

/**
 * How often one upstream ended where a request didn't run, in 1/ms: while its
 * runs lasted, or for longer before, whichever is more often.
 */
function rateElsewhere(
  { service, runs, upstreams }: Omit<MetEnds, "request">,
  { ends, explained, countUpstreams }: Circumstances & {
    explained: ReadonlySet<string>;
  },
): number {
  const own = new Set(runs.map(({ upstream }) => upstream));
  const from = Math.min(...runs.map(({ sentAt }) => sentAt));
  const to = runs.at(-1)!.endedAt;
  const longFrom = Math.min(from, to - ELSEWHERE_WINDOW);
  let during = 0;
  let longer = 0;
  for (const [upstream, end] of ends) {
    const isElsewhere = end.service === service && end.at <= to &&
      !own.has(upstream) && !explained.has(upstream);
    if (isElsewhere) {
      during += end.at >= from ? 1 : 0;
      longer += end.at >= longFrom ? 1 : 0;
    }
  }
  // A run may have been too short to be measured.
  const lasted = Math.max(1, to - from);
  const rate = Math.max(during / lasted, longer / (to - longFrom));
  return rate / Math.max(1, upstreams, countUpstreams(service));
}
