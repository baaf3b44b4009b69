import type { Milliseconds, Random } from "@heroncleat/base";
import { ChangeLog } from "./change_log.ts";
import { SuspectStatus } from "./suspect_status.ts";
import type { CrashedRun } from "./crashed_run.ts";
import type { RejectedPart } from "./rejected_part.ts";
import type { ReportedSuspect } from "./reported_suspect.ts";
import type { RevisionCounter } from "./revision_counter.ts";
import type { SuspectAssessment } from "./suspect_assessment.ts";
import { assessSuspectedParts } from "./assess_suspected_parts.ts";
import { assessSuspects } from "./assess_suspects.ts";
import type { InstanceCrash } from "./instance_crash.ts";
import type { SuspectKey } from "./suspect_key.ts";
import type { SuspectView } from "./suspect_view.ts";

/** Maximum age of an assessment if nothing changes. */
const ASSESSMENT_LIFETIME: Milliseconds = 1000;
/** Maximum age while any part is rejected, as parts may still be told apart. */
const PART_ASSESSMENT_LIFETIME: Milliseconds = 200;
/** Number of crashes from which on a request or part may be rejected. */
const REJECTION_CRASHES = 3;
/** Retention of requests with at least that many crashes. */
const REJECTED_RETENTION: Milliseconds = 86_400_000;
/** Retention of other requests and of instance crashes. */
const WATCHED_RETENTION: Milliseconds = 900_000;
/** Limit of runs kept per request; the newest are kept. */
const MAX_RUNS = 32;
/** Limits of requests that are kept, in all and per workspace; also of parts. */
const MAX_SUSPECTS = 1000;
const MAX_SUSPECTS_PER_WORKSPACE = 200;

/**
 * Longest time after the end of a part's rejection until this process sends a
 * request with it, as a share of the rejection. Each process waits for another
 * time, so that one request tells all whether upstreams still crash.
 */
const MAX_TRIAL_DELAY_SHARE = 0.5;

type RegistryOptions = {
  readonly revisions: RevisionCounter;
  /** Counts the running upstreams of a service. */
  readonly countUpstreams: (service: string) => number;
  readonly random?: Random;
};

type Suspect = {
  readonly key: SuspectKey;
  runs: CrashedRun[];
  completedAt: Milliseconds;
  /**
   * Largest number of upstreams of the service that any process had a record of
   * at its crashes. A process that has just started has a record of few and
   * would take many crashes for a coincidence.
   */
  upstreams: number;
};

/**
 * Registry of requests that were running on upstreams when these crashed, and
 * of the parts of their prompts. Reports may arrive in any order and repeatedly.
 * What completes anywhere is cleared of all earlier crashes.
 *
 * @public
 */
export class SuspectRegistry {
  readonly #revisions: RevisionCounter;
  readonly #countUpstreams: (service: string) => number;
  /** Recent instance crashes, whatever the instances were running. */
  readonly #instanceCrashes = new Map<string, InstanceCrash>();
  readonly #suspects = new Map<string, Suspect>();
  readonly #changes = new ChangeLog();
  readonly #trialDelayShare: number;
  #assessments: ReadonlyMap<string, SuspectAssessment> = new Map();
  #rejectedParts: ReadonlyMap<string, RejectedPart> = new Map();
  #changedAt = 0;
  #assessedUntil: Milliseconds = -Infinity;
  #partsAssessedUntil: Milliseconds = -Infinity;
  #areRequestsOutdated = false;
  #arePartsOutdated = false;
  /** Keys of the parts with so many crashes that they may be rejected. */
  readonly #partsInQuestion = new Set<string>();
  readonly #suspectCountBySize = new Map<number, number>();
  #partCount = 0;

  constructor(options: RegistryOptions) {
    const { revisions, countUpstreams, random = Math.random } = options;
    this.#revisions = revisions;
    this.#countUpstreams = countUpstreams;
    this.#trialDelayShare = random() * MAX_TRIAL_DELAY_SHARE;
  }

  get revision(): number {
    return this.#revisions.value;
  }

  /** The revision of its last change; 0 if it never changed. */
  get changedAt(): number {
    return this.#changedAt;
  }

  /**
   * Whether a request of this size could be suspected; saves computing a
   * digest.
   */
  hasSuspectOfSize(size: number): boolean {
    return this.#suspectCountBySize.has(size);
  }

  /** Whether any part is suspected; saves computing the keys of parts. */
  get hasSuspectedParts(): boolean {
    return this.#partCount > 0;
  }

  /**
   * Returns the part for which a request is rejected, if it is.
   *
   * @param parts Keys of the parts that the request shares with others.
   */
  findRejectedPart(
    parts: readonly string[],
    now: Milliseconds,
  ): string | undefined {
    if (!parts.some((part) => this.#partsInQuestion.has(part))) {
      return undefined;
    }
    return parts.find((part) =>
      this.#isRejectedPart(part, now) &&
      this.#rejectedParts.get(part)!.together.every((other) =>
        parts.includes(other)
      )
    );
  }

  /** Keys of the parts that are rejected now. */
  listRejectedParts(now: Milliseconds): string[] {
    return [...this.#assessParts(now).keys()].filter((part) =>
      this.#isRejectedPart(part, now)
    );
  }

  /** Number of upstreams that crashed since a request or part last completed. */
  crashCountOf(request: string): number {
    return this.#suspects.get(request)?.runs.length ?? 0;
  }

  /** The upstreams that crashed since then, in the order of the crashes. */
  listCrashed(request: string): string[] {
    const runs = this.#suspects.get(request)?.runs ?? [];
    return runs.map(({ upstream }) => upstream);
  }

  /** The current status of a request. */
  statusOf(request: string, now: Milliseconds): SuspectStatus {
    return this.#suspects.has(request)
      ? this.#assess(now).get(request)!.standing
      : SuspectStatus.unsuspected;
  }

  /**
   * Records that an upstream crashed while running a request.
   *
   * @returns Whether the crash was new.
   */
  recordCrash(key: SuspectKey, run: CrashedRun): boolean {
    const { upstream, endedAt } = run;
    this.recordInstanceCrash(upstream, { service: key.service, at: endedAt });
    const known = this.#suspects.get(key.request);
    if (endedAt <= (known?.completedAt ?? -Infinity)) {
      return false;
    }
    if (known?.runs.some((other) => other.upstream === upstream)) {
      this.#correctTimes(known, run);
      return false;
    }
    const suspect = known ?? this.#add(key);
    suspect.runs = [...suspect.runs, run]
      .sort((left, right) => left.endedAt - right.endedAt)
      .slice(-MAX_RUNS);
    suspect.upstreams = Math.max(
      suspect.upstreams,
      this.#countUpstreams(key.service),
    );
    this.#recordChange(suspect);
    this.#enforceLimits(key);
    return true;
  }

  /** Records that an instance crashed, whatever it was running. */
  recordInstanceCrash(upstream: string, crash: InstanceCrash): void {
    const known = this.#instanceCrashes.get(upstream);
    if (known === undefined || crash.at < known.at) {
      this.#instanceCrashes.set(upstream, crash);
      this.#areRequestsOutdated = true;
    }
  }

  /**
   * Records that a request completed.
   *
   * @returns Whether this cleared the request of any crash.
   */
  recordCompletion(request: string, at: Milliseconds): boolean {
    const suspect = this.#suspects.get(request);
    if (suspect === undefined) {
      return false;
    }
    const remaining = suspect.runs.filter(({ endedAt }) => endedAt > at);
    const isNew = remaining.length < suspect.runs.length;
    suspect.runs = remaining;
    if (isNew) {
      suspect.completedAt = Math.max(suspect.completedAt, at);
      this.#recordChange(suspect);
    }
    return isNew;
  }

  /**
   * Merges the report of another process.
   *
   * @returns The requests that changed.
   */
  merge(reported: readonly ReportedSuspect[], now: Milliseconds): string[] {
    const changed: string[] = [];
    for (const { crashes, answeredAge, upstreams, ...key } of reported) {
      let isNew = false;
      for (const { upstream, sentAge, endedAge } of crashes) {
        const run = {
          upstream,
          sentAt: now - sentAge,
          endedAt: now - endedAge,
        };
        isNew = this.recordCrash(key, run) || isNew;
      }
      this.#recordUpstreamCount(key.request, upstreams ?? 0);
      if (answeredAge !== undefined) {
        isNew = this.recordCompletion(key.request, now - answeredAge) || isNew;
      }
      if (isNew) {
        changed.push(key.request);
      }
    }
    return changed;
  }

  /** Requests that changed after a revision; 0 returns all. */
  changesSince(revision: number, now: Milliseconds): ReportedSuspect[] {
    const changed: ReportedSuspect[] = [];
    for (const request of this.#changes.idsSince(revision)) {
      const suspect = this.#suspects.get(request);
      if (suspect !== undefined) {
        changed.push(toReport(suspect, now));
      }
    }
    return changed;
  }

  /** The suspected requests, sorted by severity, rejected ones first. */
  list(now: Milliseconds): SuspectView[] {
    const views: SuspectView[] = [];
    for (const suspect of this.#suspects.values()) {
      const standing = this.#standingOf(suspect, now);
      if (standing !== SuspectStatus.unsuspected) {
        views.push({
          ...suspect.key,
          standing,
          upstreams: suspect.runs.map(({ upstream }) => upstream),
          age: Math.round(now - lastEventOf(suspect)),
        });
      }
    }
    const severity = Object.values(SuspectStatus);
    return views.sort((left, right) =>
      severity.indexOf(right.standing) - severity.indexOf(left.standing)
    );
  }

  #standingOf(
    { key, runs }: Suspect,
    now: Milliseconds,
  ): SuspectStatus {
    if (key.isPart === undefined) {
      return this.#assess(now).get(key.request)!.standing;
    }
    if (this.#isRejectedPart(key.request, now)) {
      return SuspectStatus.rejected;
    }
    return runs.length > 0 ? SuspectStatus.watched : SuspectStatus.unsuspected;
  }

  #isRejectedPart(part: string, now: Milliseconds): boolean {
    const rejected = this.#assessParts(now).get(part);
    if (rejected === undefined) {
      return false;
    }
    const { from, until } = rejected;
    return now < until + (until - from) * this.#trialDelayShare;
  }

  /** Removes requests and crashes that are past their retention. */
  expire(now: Milliseconds): void {
    for (const [request, suspect] of this.#suspects) {
      if (now >= expiryTime(suspect)) {
        this.#remove(request);
      }
    }
    for (const [upstream, { at }] of this.#instanceCrashes) {
      if (now - at >= WATCHED_RETENTION) {
        this.#instanceCrashes.delete(upstream);
      }
    }
  }

  /**
   * Assessments of all requests, updated after a change or when they expire.
   */
  #assess(now: Milliseconds): ReadonlyMap<string, SuspectAssessment> {
    if (this.#areRequestsOutdated || now >= this.#assessedUntil) {
      this.#areRequestsOutdated = false;
      this.#arePartsOutdated = true;
      this.#assessments = assessSuspects(this.#requestHistories(), {
        instanceCrashes: this.#instanceCrashes,
        countUpstreams: this.#countUpstreams,
        now,
      });
      this.#assessedUntil = now + ASSESSMENT_LIFETIME;
      for (const { until } of this.#assessments.values()) {
        this.#assessedUntil = Math.min(this.#assessedUntil, until);
      }
    }
    return this.#assessments;
  }

  /** The parts that are rejected, or were until some time ago. */
  #assessParts(now: Milliseconds): ReadonlyMap<string, RejectedPart> {
    this.#assess(now);
    if (this.#arePartsOutdated || now >= this.#partsAssessedUntil) {
      this.#arePartsOutdated = false;
      this.#rejectedParts = assessSuspectedParts(this.#partHistories(), {
        instanceCrashes: this.#instanceCrashes,
        crashedByRequests: this.#listCrashedByRequests(),
        countUpstreams: this.#countUpstreams,
        now,
      });
      this.#partsAssessedUntil = this.#rejectedParts.size > 0
        ? now + PART_ASSESSMENT_LIFETIME
        : Infinity;
    }
    return this.#rejectedParts;
  }

  *#requestHistories() {
    for (const { key, runs, upstreams } of this.#suspects.values()) {
      if (key.isPart === undefined) {
        yield { request: key.request, service: key.service, runs, upstreams };
      }
    }
  }

  *#partHistories() {
    for (const request of this.#partsInQuestion) {
      const { key, runs, upstreams } = this.#suspects.get(request)!;
      yield { request, service: key.service, runs, upstreams };
    }
  }

  /** The upstreams that each rejected request has crashed. */
  #listCrashedByRequests(): Set<string>[] {
    const crashed: Set<string>[] = [];
    for (const [request, { standing }] of this.#assessments) {
      if (standing === SuspectStatus.rejected) {
        const { runs } = this.#suspects.get(request)!;
        crashed.push(new Set(runs.map(({ upstream }) => upstream)));
      }
    }
    return crashed;
  }

  #add(key: SuspectKey): Suspect {
    const suspect: Suspect = {
      key,
      runs: [],
      completedAt: -Infinity,
      upstreams: 0,
    };
    this.#suspects.set(key.request, suspect);
    if (key.isPart === true) {
      this.#partCount += 1;
      return suspect;
    }
    this.#suspectCountBySize.set(
      key.size,
      (this.#suspectCountBySize.get(key.size) ?? 0) + 1,
    );
    return suspect;
  }

  /**
   * Corrects the times of a run that is reported again. Each report adds its
   * latency, so the earliest times are the best. Otherwise a run could seem to
   * start before the crash that it followed.
   */
  #correctTimes(suspect: Suspect, reported: CrashedRun): void {
    suspect.runs = suspect.runs
      .map((run) =>
        run.upstream === reported.upstream ? earliest(run, reported) : run
      )
      .sort((left, right) => left.endedAt - right.endedAt);
    this.#outdate(suspect);
  }

  #recordUpstreamCount(request: string, upstreams: number): void {
    const suspect = this.#suspects.get(request);
    if (suspect !== undefined && upstreams > suspect.upstreams) {
      suspect.upstreams = upstreams;
      this.#outdate(suspect);
    }
  }

  /** Assesses again, without a change to report. */
  #outdate({ key: { isPart } }: Suspect): void {
    this.#areRequestsOutdated ||= isPart === undefined;
    this.#arePartsOutdated = true;
  }

  #remove(request: string): void {
    const suspect = this.#suspects.get(request);
    if (suspect === undefined) {
      return;
    }
    this.#suspects.delete(request);
    this.#changes.remove(request);
    const { size, isPart } = suspect.key;
    if (isPart === true) {
      this.#partCount -= 1;
      this.#arePartsOutdated ||= this.#partsInQuestion.delete(request);
      return;
    }
    this.#areRequestsOutdated = true;
    const remaining = (this.#suspectCountBySize.get(size) ?? 1) - 1;
    if (remaining > 0) {
      this.#suspectCountBySize.set(size, remaining);
    } else {
      this.#suspectCountBySize.delete(size);
    }
  }

  #recordChange({ key: { request, isPart }, runs }: Suspect): void {
    this.#changedAt = this.#revisions.next();
    this.#changes.record(request, this.#changedAt);
    if (isPart === undefined) {
      this.#areRequestsOutdated = true;
      return;
    }
    const wasInQuestion = this.#partsInQuestion.delete(request);
    if (runs.length >= REJECTION_CRASHES) {
      this.#partsInQuestion.add(request);
    }
    this.#arePartsOutdated ||= wasInQuestion ||
      this.#partsInQuestion.has(request);
  }

  /**
   * Removes a request if the workspace's limit or the total limit is exceeded.
   */
  #enforceLimits({ request }: SuspectKey): void {
    if (this.#suspects.size <= MAX_SUSPECTS_PER_WORKSPACE) {
      return;
    }
    const { workspace, isPart } = this.#suspects.get(request)!.key;
    const kind = [...this.#suspects.values()].filter(({ key }) =>
      key.isPart === isPart
    );
    const own = suspectsOf(kind, workspace);
    if (own.length > MAX_SUSPECTS_PER_WORKSPACE) {
      this.#remove(leastSuspected(own).key.request);
    } else if (kind.length > MAX_SUSPECTS) {
      const most = suspectsOf(kind, largestWorkspace(kind));
      this.#remove(leastSuspected(most).key.request);
    }
  }
}

function suspectsOf(
  suspects: readonly Suspect[],
  workspace: string,
): Suspect[] {
  return suspects.filter(({ key }) => key.workspace === workspace);
}

/** The workspace with the most suspects. */
function largestWorkspace(suspects: readonly Suspect[]): string {
  const counts = new Map<string, number>();
  let largest = "";
  for (const { key: { workspace } } of suspects) {
    const count = (counts.get(workspace) ?? 0) + 1;
    counts.set(workspace, count);
    if (count > (counts.get(largest) ?? 0)) {
      largest = workspace;
    }
  }
  return largest;
}

function expiryTime(suspect: Suspect): Milliseconds {
  const retention = suspect.runs.length >= REJECTION_CRASHES
    ? REJECTED_RETENTION
    : WATCHED_RETENTION;
  return lastEventOf(suspect) + retention;
}

function earliest(left: CrashedRun, right: CrashedRun): CrashedRun {
  return {
    upstream: left.upstream,
    sentAt: Math.min(left.sentAt, right.sentAt),
    endedAt: Math.min(left.endedAt, right.endedAt),
  };
}

/** Time of the latest crash or completion. */
function lastEventOf({ runs, completedAt }: Suspect): Milliseconds {
  return Math.max(runs.at(-1)?.endedAt ?? -Infinity, completedAt);
}

/** The request with the fewest crashes; among equals, the oldest. */
function leastSuspected(suspects: readonly Suspect[]): Suspect {
  let least = suspects[0]!;
  for (const suspect of suspects) {
    const difference = suspect.runs.length - least.runs.length;
    const isOlder = lastEventOf(suspect) < lastEventOf(least);
    if (difference < 0 || (difference === 0 && isOlder)) {
      least = suspect;
    }
  }
  return least;
}

function toReport(suspect: Suspect, now: Milliseconds): ReportedSuspect {
  const { key, runs, completedAt, upstreams } = suspect;
  return {
    ...key,
    upstreams,
    crashes: runs.map(({ upstream, sentAt, endedAt }) => ({
      upstream,
      sentAge: Math.round(now - sentAt),
      endedAge: Math.round(now - endedAt),
    })),
    answeredAge: completedAt === -Infinity
      ? undefined
      : Math.round(now - completedAt),
  };
}
