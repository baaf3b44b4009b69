import type { Milliseconds } from "@heroncleat/base";
import { ChangeLog } from "./change_log.ts";
import { CrashStanding } from "./crash_standing.ts";
import { countCrashes } from "./count_crashes.ts";
import type { CrashedRun } from "./crashed_run.ts";
import type { ReportedSuspect } from "./reported_suspect.ts";
import type { RevisionCounter } from "./revision_counter.ts";
import type { SuspectKey } from "./suspect_key.ts";
import type { SuspectView } from "./suspect_view.ts";

/** Counted ends from which on a request runs alone, and isn't sent on. */
const SINGLE_FROM = 2;
const REJECTED_FROM = 3;
/**
 * Time for which a request is rejected after the third end, twice as long
 * after each further one: upstreams of a new release may bear it.
 */
const REJECTED_FOR: Milliseconds = 600_000;
/** Time for which fewer ends are remembered. */
const WATCHED_FOR: Milliseconds = 900_000;
/** Time for which the ends of one that was rejected are remembered after it. */
const REMEMBERED_FOR: Milliseconds = 86_400_000;
/** Runs that are remembered of one request, the newest. */
const MOST_RUNS = 8;
/** Requests that are remembered in all, and of one workspace. */
const MOST_SUSPECTS = 1000;
const MOST_OF_WORKSPACE = 200;

type Suspect = {
  readonly key: SuspectKey;
  runs: CrashedRun[];
  answeredAt: Milliseconds;
};

/**
 * The requests under which upstreams ended. What several processes saw may come
 * in any order and more than once. A request that is answered whole, anywhere,
 * is innocent of all ends before that.
 *
 * What callers send can't fill it at others' expense: each workspace has its
 * share, and of a full share the least suspected goes.
 *
 * @public
 */
export class CrashBook {
  readonly #revisions: RevisionCounter;
  readonly #suspects = new Map<string, Suspect>();
  readonly #changes = new ChangeLog();
  /** How many suspects there are of a service and size. */
  readonly #sizes = new Map<string, number>();

  constructor(revisions: RevisionCounter) {
    this.#revisions = revisions;
  }

  get revision(): number {
    return this.#revisions.value;
  }

  /** Whether a request could be suspected at all, before it is identified. */
  mayKnow(service: string, size: number): boolean {
    return this.#sizes.has(sizeKey(service, size));
  }

  /** What becomes of a request that is sent now. */
  standing(request: string, now: Milliseconds): CrashStanding {
    const suspect = this.#suspects.get(request);
    return suspect === undefined
      ? CrashStanding.unsuspected
      : standingOf(suspect, now);
  }

  /** Notes that an upstream ended under a request; true where it is news. */
  noteCrash(key: SuspectKey, run: CrashedRun): boolean {
    const known = this.#suspects.get(key.request);
    const isKnown = known?.runs.some(({ upstream }) =>
      upstream === run.upstream
    );
    if (isKnown || run.endedAt <= (known?.answeredAt ?? -Infinity)) {
      return false;
    }
    const suspect = known ?? this.#add(key);
    suspect.runs = [...suspect.runs, run]
      .sort((left, right) => left.endedAt - right.endedAt)
      .slice(-MOST_RUNS);
    this.#noteChange(key.request);
    this.#bound(key.workspace);
    return true;
  }

  /** Notes that a suspected request was answered whole; true where it is news. */
  noteAnswer(request: string, at: Milliseconds): boolean {
    const suspect = this.#suspects.get(request);
    if (suspect === undefined) {
      return false;
    }
    const left = suspect.runs.filter(({ endedAt }) => endedAt > at);
    const isNews = left.length < suspect.runs.length;
    suspect.runs = left;
    if (isNews) {
      suspect.answeredAt = Math.max(suspect.answeredAt, at);
      this.#noteChange(request);
    }
    return isNews;
  }

  /** Takes over what another process reports, and says what of it was news. */
  learn(reported: readonly ReportedSuspect[], now: Milliseconds): string[] {
    const news: string[] = [];
    for (const { crashes, answeredAge, ...key } of reported) {
      let isNews = false;
      for (const { upstream, sentAge, endedAge } of crashes) {
        const run = {
          upstream,
          sentAt: now - sentAge,
          endedAt: now - endedAge,
        };
        isNews = this.noteCrash(key, run) || isNews;
      }
      if (answeredAge !== undefined) {
        isNews = this.noteAnswer(key.request, now - answeredAge) || isNews;
      }
      if (isNews) {
        news.push(key.request);
      }
    }
    return news;
  }

  /** What changed behind a revision; 0 asks for all. */
  changesSince(revision: number, now: Milliseconds): ReportedSuspect[] {
    const changed: ReportedSuspect[] = [];
    for (const request of this.#changes.since(revision)) {
      const suspect = this.#suspects.get(request);
      if (suspect !== undefined) {
        changed.push(describe(suspect, now));
      }
    }
    return changed;
  }

  /** The suspected requests, those that are rejected first. */
  list(now: Milliseconds): SuspectView[] {
    const views: SuspectView[] = [];
    for (const suspect of this.#suspects.values()) {
      const standing = standingOf(suspect, now);
      if (standing !== CrashStanding.unsuspected) {
        views.push({
          ...suspect.key,
          standing,
          upstreams: suspect.runs.map(({ upstream }) => upstream),
          age: Math.round(now - lastEventOf(suspect)),
        });
      }
    }
    const rank = Object.values(CrashStanding);
    return views.sort((left, right) =>
      rank.indexOf(right.standing) - rank.indexOf(left.standing)
    );
  }

  /** Forgets what has been remembered for long enough. */
  expire(now: Milliseconds): void {
    for (const [request, suspect] of this.#suspects) {
      if (now >= forgottenFrom(suspect)) {
        this.#drop(request);
      }
    }
  }

  #add(key: SuspectKey): Suspect {
    const suspect: Suspect = { key, runs: [], answeredAt: -Infinity };
    this.#suspects.set(key.request, suspect);
    const size = sizeKey(key.service, key.size);
    this.#sizes.set(size, (this.#sizes.get(size) ?? 0) + 1);
    return suspect;
  }

  #drop(request: string): void {
    const suspect = this.#suspects.get(request);
    if (suspect === undefined) {
      return;
    }
    this.#suspects.delete(request);
    this.#changes.drop(request);
    const size = sizeKey(suspect.key.service, suspect.key.size);
    const left = (this.#sizes.get(size) ?? 1) - 1;
    if (left > 0) {
      this.#sizes.set(size, left);
    } else {
      this.#sizes.delete(size);
    }
  }

  #noteChange(request: string): void {
    this.#changes.note(request, this.#revisions.next());
  }

  /** Keeps a workspace within its share, and all within the whole. */
  #bound(workspace: string): void {
    const own = this.#suspectsOf(workspace);
    if (own.length > MOST_OF_WORKSPACE) {
      this.#drop(leastOf(own).key.request);
    } else if (this.#suspects.size > MOST_SUSPECTS) {
      this.#drop(leastOf(this.#suspectsOf(this.#largest())).key.request);
    }
  }

  #suspectsOf(workspace: string): Suspect[] {
    return [...this.#suspects.values()].filter(({ key }) =>
      key.workspace === workspace
    );
  }

  /** The workspace with the most suspects. */
  #largest(): string {
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

function sizeKey(service: string, size: number): string {
  return `${size} ${service}`;
}

function standingOf(suspect: Suspect, now: Milliseconds): CrashStanding {
  const count = countCrashes(suspect.runs);
  if (count >= REJECTED_FROM && now < rejectedUntil(suspect, count)) {
    return CrashStanding.rejected;
  }
  if (count >= SINGLE_FROM) {
    return CrashStanding.single;
  }
  return count > 0 ? CrashStanding.watched : CrashStanding.unsuspected;
}

function rejectedUntil(suspect: Suspect, count: number): Milliseconds {
  return lastEventOf(suspect) + REJECTED_FOR * 2 ** (count - REJECTED_FROM);
}

function forgottenFrom(suspect: Suspect): Milliseconds {
  const count = countCrashes(suspect.runs);
  return count >= REJECTED_FROM
    ? rejectedUntil(suspect, count) + REMEMBERED_FOR
    : lastEventOf(suspect) + WATCHED_FOR;
}

/** When an upstream last ended under it, or it was last answered. */
function lastEventOf({ runs, answeredAt }: Suspect): Milliseconds {
  return Math.max(runs.at(-1)?.endedAt ?? -Infinity, answeredAt);
}

/** The one with the fewest ends; of several, the oldest. */
function leastOf(suspects: readonly Suspect[]): Suspect {
  let least = suspects[0]!;
  for (const suspect of suspects) {
    const fewer = countCrashes(suspect.runs) - countCrashes(least.runs);
    const isOlder = lastEventOf(suspect) < lastEventOf(least);
    if (fewer < 0 || (fewer === 0 && isOlder)) {
      least = suspect;
    }
  }
  return least;
}

function describe(suspect: Suspect, now: Milliseconds): ReportedSuspect {
  const { key, runs, answeredAt } = suspect;
  return {
    ...key,
    crashes: runs.map(({ upstream, sentAt, endedAt }) => ({
      upstream,
      sentAge: Math.round(now - sentAt),
      endedAge: Math.round(now - endedAt),
    })),
    answeredAge: answeredAt === -Infinity
      ? undefined
      : Math.round(now - answeredAt),
  };
}
