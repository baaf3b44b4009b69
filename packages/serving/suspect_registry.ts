import type { Milliseconds } from "@heroncleat/base";
import { ChangeLog } from "./change_log.ts";
import { SuspectStatus } from "./suspect_status.ts";
import type { CrashedRun } from "./crashed_run.ts";
import type { ReportedSuspect } from "./reported_suspect.ts";
import type { RevisionCounter } from "./revision_counter.ts";
import type { SuspectAssessment } from "./suspect_assessment.ts";
import { assessSuspects } from "./assess_suspects.ts";
import type { InstanceCrash } from "./instance_crash.ts";
import type { SuspectKey } from "./suspect_key.ts";
import type { SuspectView } from "./suspect_view.ts";

/** Maximum age of an assessment if nothing changes. */
const ASSESSMENT_LIFETIME: Milliseconds = 1000;
/** Number of crashes from which on a request may have been rejected. */
const REJECTION_CRASHES = 3;
/** Retention of requests with at least that many crashes. */
const REJECTED_RETENTION: Milliseconds = 86_400_000;
/** Retention of other requests and of instance crashes. */
const WATCHED_RETENTION: Milliseconds = 900_000;
/** Limit of runs kept per request; the newest are kept. */
const MAX_RUNS = 32;
/** Limits of requests that are kept, in all and per workspace. */
const MAX_SUSPECTS = 1000;
const MAX_SUSPECTS_PER_WORKSPACE = 200;

type RegistryOptions = {
  readonly revisions: RevisionCounter;
  /** Counts the running upstreams of a service. */
  readonly countUpstreams: (service: string) => number;
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
 * Registry of requests that were running on upstreams when these crashed.
 * Reports may arrive in any order and repeatedly. A request that completes
 * anywhere is cleared of all earlier crashes.
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
  #assessments: ReadonlyMap<string, SuspectAssessment> = new Map();
  #changedAt = 0;
  #assessedUntil: Milliseconds = -Infinity;
  #assessedRevision = -1;
  readonly #suspectCountBySize = new Map<number, number>();

  constructor({ revisions, countUpstreams }: RegistryOptions) {
    this.#revisions = revisions;
    this.#countUpstreams = countUpstreams;
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
    if (!this.#instanceCrashes.has(upstream)) {
      this.#instanceCrashes.set(upstream, {
        service: key.service,
        at: endedAt,
      });
    }
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
    this.#recordChange(key.request);
    this.#enforceLimits(key.workspace);
    return true;
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
      this.#recordChange(request);
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
      const { standing } = this.#assess(now).get(suspect.key.request)!;
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
    const isOutdated = this.#assessedRevision !== this.#changedAt;
    if (isOutdated || now >= this.#assessedUntil) {
      this.#assessedRevision = this.#changedAt;
      this.#assessments = assessSuspects(this.#crashHistories(), {
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

  *#crashHistories() {
    for (const { key, runs, upstreams } of this.#suspects.values()) {
      yield { request: key.request, service: key.service, runs, upstreams };
    }
  }

  #add(key: SuspectKey): Suspect {
    const suspect: Suspect = {
      key,
      runs: [],
      completedAt: -Infinity,
      upstreams: 0,
    };
    this.#suspects.set(key.request, suspect);
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
    this.#assessedUntil = -Infinity;
  }

  #recordUpstreamCount(request: string, upstreams: number): void {
    const suspect = this.#suspects.get(request);
    if (suspect !== undefined && upstreams > suspect.upstreams) {
      suspect.upstreams = upstreams;
      this.#assessedUntil = -Infinity;
    }
  }

  #remove(request: string): void {
    const suspect = this.#suspects.get(request);
    if (suspect === undefined) {
      return;
    }
    this.#suspects.delete(request);
    this.#changes.remove(request);
    const { size } = suspect.key;
    const remaining = (this.#suspectCountBySize.get(size) ?? 1) - 1;
    if (remaining > 0) {
      this.#suspectCountBySize.set(size, remaining);
    } else {
      this.#suspectCountBySize.delete(size);
    }
  }

  #recordChange(request: string): void {
    this.#changedAt = this.#revisions.next();
    this.#changes.record(request, this.#changedAt);
  }

  /**
   * Removes a request if the workspace's limit or the total limit is exceeded.
   */
  #enforceLimits(workspace: string): void {
    const own = this.#suspectsOf(workspace);
    if (own.length > MAX_SUSPECTS_PER_WORKSPACE) {
      this.#remove(leastSuspected(own).key.request);
    } else if (this.#suspects.size > MAX_SUSPECTS) {
      this.#remove(
        leastSuspected(this.#suspectsOf(this.#largestWorkspace())).key.request,
      );
    }
  }

  #suspectsOf(workspace: string): Suspect[] {
    return [...this.#suspects.values()].filter(({ key }) =>
      key.workspace === workspace
    );
  }

  /** The workspace with the most suspects. */
  #largestWorkspace(): string {
    const counts = new Map<string, number>();
    let largest = "";
    for (const { key: { workspace } } of this.#suspects.values()) {
      const count = (counts.get(workspace) ?? 0) + 1;
      counts.set(workspace, count);
      if (count > (counts.get(largest) ?? 0)) {
        largest = workspace;
      }
    }
    return largest;
  }
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
