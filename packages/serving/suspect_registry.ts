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

/** Time for which a judgement stands where nothing changes. */
const ASSESSMENT_LIFETIME: Milliseconds = 1000;
/** Ends from which on a request may have been rejected. */
const REJECTION_CRASHES = 3;
/** Time for which so many ends are remembered. */
const REJECTED_RETENTION: Milliseconds = 86_400_000;
/** Time for which fewer are. */
const WATCHED_RETENTION: Milliseconds = 900_000;
/** Runs that are remembered of one request, the newest. */
const MAX_RUNS = 32;
/** Requests that are remembered in all, and of one workspace. */
const MAX_SUSPECTS = 1000;
const MAX_SUSPECTS_PER_WORKSPACE = 200;

/** What a book is built with. */
type RegistryOptions = {
  readonly revisions: RevisionCounter;
  /** Upstreams of a service that run. */
  readonly countUpstreams: (service: string) => number;
};

type Suspect = {
  readonly key: SuspectKey;
  runs: CrashedRun[];
  completedAt: Milliseconds;
  /**
   * Most upstreams of its service that any process knew at its ends. One that
   * has just started knows few and would take many ends for chance.
   */
  upstreams: number;
};

/**
 * The requests under which upstreams ended. What several processes saw may come
 * in any order and more than once. A request that is answered whole, anywhere,
 * is innocent of all ends before that. Where upstreams often end for reasons of
 * their own, more of them must end under a request, and sooner, before it is
 * rejected.
 *
 * What callers send can't fill it at others' expense: each workspace has its
 * share, and of a full share the least suspected goes.
 *
 * @public
 */
export class SuspectRegistry {
  readonly #revisions: RevisionCounter;
  readonly #countUpstreams: (service: string) => number;
  /** Starts that ended lately, whatever ran there. */
  readonly #instanceCrashes = new Map<string, InstanceCrash>();
  readonly #suspects = new Map<string, Suspect>();
  readonly #changes = new ChangeLog();
  #assessments: ReadonlyMap<string, SuspectAssessment> = new Map();
  #changedAt = 0;
  #assessedUntil: Milliseconds = -Infinity;
  #assessedRevision = -1;
  /** How many suspects there are of a size. */
  readonly #suspectCountBySize = new Map<number, number>();

  constructor({ revisions, countUpstreams }: RegistryOptions) {
    this.#revisions = revisions;
    this.#countUpstreams = countUpstreams;
  }

  get revision(): number {
    return this.#revisions.value;
  }

  /** The revision at which it last changed; 0 for never. */
  get changedAt(): number {
    return this.#changedAt;
  }

  /** Whether a request could be suspected at all, before it is identified. */
  hasSuspectOfSize(size: number): boolean {
    return this.#suspectCountBySize.has(size);
  }

  /** What becomes of a request that is sent now. */
  statusOf(request: string, now: Milliseconds): SuspectStatus {
    return this.#suspects.has(request)
      ? this.#assess(now).get(request)!.standing
      : SuspectStatus.unsuspected;
  }

  /** Notes that an upstream ended under a request; true where it is news. */
  recordCrash(key: SuspectKey, run: CrashedRun): boolean {
    const { upstream, endedAt } = run;
    if (!this.#instanceCrashes.has(upstream)) {
      this.#instanceCrashes.set(upstream, {
        service: key.service,
        at: endedAt,
      });
    }
    const known = this.#suspects.get(key.request);
    const isRecorded = known?.runs.some((other) => other.upstream === upstream);
    if (isRecorded || endedAt <= (known?.completedAt ?? -Infinity)) {
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

  /** Notes that a suspected request was answered whole; true where it is news. */
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

  /** Takes over what another process reports, and says what of it was news. */
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

  /** What changed behind a revision; 0 asks for all. */
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

  /** The suspected requests, those that are rejected first. */
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

  /** Forgets what has been remembered for long enough. */
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

  /** How all stand; worked out anew after a change, and now and then. */
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

  /** Keeps a workspace within its share, and all within the whole. */
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

/** When an upstream last ended under it, or it was last answered. */
function lastEventOf({ runs, completedAt }: Suspect): Milliseconds {
  return Math.max(runs.at(-1)?.endedAt ?? -Infinity, completedAt);
}

/** The one with the fewest ends; of several, the oldest. */
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
