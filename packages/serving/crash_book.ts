import type { Milliseconds } from "@heroncleat/base";
import { ChangeLog } from "./change_log.ts";
import { CrashStanding } from "./crash_standing.ts";
import type { CrashedRun } from "./crashed_run.ts";
import type { ReportedSuspect } from "./reported_suspect.ts";
import type { RevisionCounter } from "./revision_counter.ts";
import type { Judgement } from "./judgement.ts";
import { judgeSuspects } from "./judge_suspects.ts";
import type { KnownEnd } from "./known_end.ts";
import type { SuspectKey } from "./suspect_key.ts";
import type { SuspectView } from "./suspect_view.ts";

/** Time for which a judgement stands where nothing changes. */
const JUDGED_FOR: Milliseconds = 1000;
/** Ends from which on a request may have been rejected. */
const SEVERAL = 3;
/** Time for which so many ends are remembered. */
const REMEMBERED_FOR: Milliseconds = 86_400_000;
/** Time for which fewer are. */
const WATCHED_FOR: Milliseconds = 900_000;
/** Runs that are remembered of one request, the newest. */
const MOST_RUNS = 32;
/** Requests that are remembered in all, and of one workspace. */
const MOST_SUSPECTS = 1000;
const MOST_OF_WORKSPACE = 200;

/** What a book is built with. */
type BookOptions = {
  readonly revisions: RevisionCounter;
  /** Upstreams of a service that run. */
  readonly countUpstreams: (service: string) => number;
};

type Suspect = {
  readonly key: SuspectKey;
  runs: CrashedRun[];
  answeredAt: Milliseconds;
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
export class CrashBook {
  readonly #revisions: RevisionCounter;
  readonly #countUpstreams: (service: string) => number;
  /** Starts that ended lately, whatever ran there. */
  readonly #ends = new Map<string, KnownEnd>();
  readonly #suspects = new Map<string, Suspect>();
  readonly #changes = new ChangeLog();
  #judged: ReadonlyMap<string, Judgement> = new Map();
  #changedAt = 0;
  #judgedUntil: Milliseconds = -Infinity;
  #judgedRevision = -1;
  /** How many suspects there are of a size. */
  readonly #sizes = new Map<number, number>();

  constructor({ revisions, countUpstreams }: BookOptions) {
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
  mayKnow(size: number): boolean {
    return this.#sizes.has(size);
  }

  /** What becomes of a request that is sent now. */
  standing(request: string, now: Milliseconds): CrashStanding {
    return this.#suspects.has(request)
      ? this.#judge(now).get(request)!.standing
      : CrashStanding.unsuspected;
  }

  /** Notes that an upstream ended under a request; true where it is news. */
  noteCrash(key: SuspectKey, run: CrashedRun): boolean {
    const { upstream, endedAt } = run;
    if (!this.#ends.has(upstream)) {
      this.#ends.set(upstream, { service: key.service, at: endedAt });
    }
    const known = this.#suspects.get(key.request);
    const isKnown = known?.runs.some((other) => other.upstream === upstream);
    if (isKnown || endedAt <= (known?.answeredAt ?? -Infinity)) {
      return false;
    }
    const suspect = known ?? this.#add(key);
    suspect.runs = [...suspect.runs, run]
      .sort((left, right) => left.endedAt - right.endedAt)
      .slice(-MOST_RUNS);
    suspect.upstreams = Math.max(
      suspect.upstreams,
      this.#countUpstreams(key.service),
    );
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
    for (const { crashes, answeredAge, upstreams, ...key } of reported) {
      let isNews = false;
      for (const { upstream, sentAge, endedAge } of crashes) {
        const run = {
          upstream,
          sentAt: now - sentAge,
          endedAt: now - endedAge,
        };
        isNews = this.noteCrash(key, run) || isNews;
      }
      this.#noteUpstreams(key.request, upstreams ?? 0);
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
      const { standing } = this.#judge(now).get(suspect.key.request)!;
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
    for (const [upstream, { at }] of this.#ends) {
      if (now - at >= WATCHED_FOR) {
        this.#ends.delete(upstream);
      }
    }
  }

  /** How all stand; worked out anew after a change, and now and then. */
  #judge(now: Milliseconds): ReadonlyMap<string, Judgement> {
    const isOutdated = this.#judgedRevision !== this.#changedAt;
    if (isOutdated || now >= this.#judgedUntil) {
      this.#judgedRevision = this.#changedAt;
      this.#judged = judgeSuspects(this.#metEnds(), {
        ends: this.#ends,
        countUpstreams: this.#countUpstreams,
        now,
      });
      this.#judgedUntil = now + JUDGED_FOR;
      for (const { until } of this.#judged.values()) {
        this.#judgedUntil = Math.min(this.#judgedUntil, until);
      }
    }
    return this.#judged;
  }

  *#metEnds() {
    for (const { key, runs, upstreams } of this.#suspects.values()) {
      yield { request: key.request, service: key.service, runs, upstreams };
    }
  }

  #add(key: SuspectKey): Suspect {
    const suspect: Suspect = {
      key,
      runs: [],
      answeredAt: -Infinity,
      upstreams: 0,
    };
    this.#suspects.set(key.request, suspect);
    this.#sizes.set(key.size, (this.#sizes.get(key.size) ?? 0) + 1);
    return suspect;
  }

  #noteUpstreams(request: string, upstreams: number): void {
    const suspect = this.#suspects.get(request);
    if (suspect !== undefined && upstreams > suspect.upstreams) {
      suspect.upstreams = upstreams;
      this.#judgedUntil = -Infinity;
    }
  }

  #drop(request: string): void {
    const suspect = this.#suspects.get(request);
    if (suspect === undefined) {
      return;
    }
    this.#suspects.delete(request);
    this.#changes.drop(request);
    const { size } = suspect.key;
    const left = (this.#sizes.get(size) ?? 1) - 1;
    if (left > 0) {
      this.#sizes.set(size, left);
    } else {
      this.#sizes.delete(size);
    }
  }

  #noteChange(request: string): void {
    this.#changedAt = this.#revisions.next();
    this.#changes.note(request, this.#changedAt);
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

function forgottenFrom(suspect: Suspect): Milliseconds {
  const remembered = suspect.runs.length >= SEVERAL
    ? REMEMBERED_FOR
    : WATCHED_FOR;
  return lastEventOf(suspect) + remembered;
}

/** When an upstream last ended under it, or it was last answered. */
function lastEventOf({ runs, answeredAt }: Suspect): Milliseconds {
  return Math.max(runs.at(-1)?.endedAt ?? -Infinity, answeredAt);
}

/** The one with the fewest ends; of several, the oldest. */
function leastOf(suspects: readonly Suspect[]): Suspect {
  let least = suspects[0]!;
  for (const suspect of suspects) {
    const fewer = suspect.runs.length - least.runs.length;
    const isOlder = lastEventOf(suspect) < lastEventOf(least);
    if (fewer < 0 || (fewer === 0 && isOlder)) {
      least = suspect;
    }
  }
  return least;
}

function describe(suspect: Suspect, now: Milliseconds): ReportedSuspect {
  const { key, runs, answeredAt, upstreams } = suspect;
  return {
    ...key,
    upstreams,
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
