import type { Clock, Milliseconds } from "@heroncleat/base";
import {
  type CrashBook,
  type CrashedRun,
  CrashStanding,
  type ReportedSuspect,
  type SuspectKey,
  type UpstreamRecord,
} from "@heroncleat/serving";
import type { Log } from "../common/log.ts";
import type { Metrics } from "../common/metrics.ts";
import type { CallerRequest } from "./caller_request.ts";

/**
 * Time for which a connection that ended may turn out to be the end of its
 * upstream: heartbeats of the next start come seconds later.
 */
const UNDECIDED_FOR: Milliseconds = 8000;
/** Connections that ended and are undecided, of one upstream. */
const MOST_UNDECIDED = 200;

/** What the watch is built from. */
type WatchOptions = {
  readonly book: CrashBook;
  readonly clock: Clock;
  readonly log: Log;
  readonly metrics: Metrics;
  /** Whether something still takes connections at host:port. */
  readonly probe: (address: string) => Promise<boolean>;
  /** Whether another start of the same upstream is there. */
  readonly isOver: (upstream: string) => boolean;
  /** Called with the identity of a start that was found to have ended. */
  readonly onEnd: (upstream: string, at: Milliseconds) => void;
  /** Tells all others what is news, now. */
  readonly report: (news: readonly ReportedSuspect[]) => void;
};

/** A run whose connection ended, while it isn't known why. */
type BrokenRun = { readonly key: SuspectKey; readonly run: CrashedRun };

/**
 * Tells a request that ends upstreams from what is under way where upstreams
 * end. A connection may end for many reasons; a run counts once nothing takes
 * connections at its upstream any more, or another start is there.
 */
export class CrashWatch {
  readonly #options: WatchOptions;
  /** By identity of the start. */
  readonly #undecided = new Map<string, BrokenRun[]>();
  readonly #probing = new Set<string>();
  /** Copies of suspected requests that this entry runs, by digest. */
  readonly #underWay = new Map<string, number>();

  constructor(options: WatchOptions) {
    this.#options = options;
  }

  /** What becomes of a request that is sent now. */
  standing(call: CallerRequest): CrashStanding {
    const { book, clock } = this.#options;
    return this.#isKnown(call)
      ? book.standing(call.digest(), clock.steady())
      : CrashStanding.unsuspected;
  }

  /** Whether another copy of a request runs by way of this entry. */
  isUnderWay(call: CallerRequest): boolean {
    return this.#isKnown(call) && this.#underWay.has(call.digest());
  }

  /** Notes that a copy goes out; call what it returns when that has ended. */
  begin(call: CallerRequest): () => void {
    if (this.standing(call) === CrashStanding.unsuspected) {
      return () => {};
    }
    const digest = call.digest();
    this.#underWay.set(digest, (this.#underWay.get(digest) ?? 0) + 1);
    return () => {
      const left = this.#underWay.get(digest)! - 1;
      if (left > 0) {
        this.#underWay.set(digest, left);
      } else {
        this.#underWay.delete(digest);
      }
    };
  }

  /** Notes that a request was answered whole. */
  noteAnswer(call: CallerRequest): void {
    const { book, clock, log } = this.#options;
    if (!this.#isKnown(call)) {
      return;
    }
    const before = book.revision;
    if (book.noteAnswer(call.digest(), clock.steady())) {
      log.info("A request under which upstreams ended was answered whole", {
        request: call.attempt,
        digest: call.digest(),
      });
      this.#report(before);
    }
  }

  /** Notes that the connection to an upstream ended under a request. */
  noteBreak(
    call: CallerRequest,
    options: { record: UpstreamRecord; sentAt: Milliseconds },
  ): void {
    const { record, sentAt } = options;
    const runs = this.#undecided.get(record.id) ?? [];
    if (record.state !== "ready" || runs.length >= MOST_UNDECIDED) {
      return;
    }
    const endedAt = this.#options.clock.steady();
    const run = { upstream: record.id, sentAt, endedAt };
    runs.push({ key: keyOf(call), run });
    this.#undecided.set(record.id, runs);
    if (this.#options.isOver(record.id)) {
      this.noteEnd(record.id);
    } else {
      void this.#probe(record);
    }
  }

  /** Notes that a start has ended, as another one is there or nothing is. */
  noteEnd(upstream: string): void {
    const { book, clock, log, metrics, onEnd } = this.#options;
    onEnd(upstream, clock.steady());
    const runs = this.#undecided.get(upstream) ?? [];
    this.#undecided.delete(upstream);
    const before = book.revision;
    let isNews = false;
    for (const { key, run } of runs) {
      if (!book.noteCrash(key, run)) {
        continue;
      }
      isNews = true;
      const standing = book.standing(key.request, clock.steady());
      metrics.increment(`crashes.${standing}`);
      log.info("An upstream ended under a request", {
        digest: key.request,
        upstream,
        service: key.service,
        workspace: key.workspace,
        ranFor: Math.round(run.endedAt - run.sentAt),
        standing,
      });
    }
    if (isNews) {
      this.#report(before);
    }
  }

  /** Takes over what a control replica reports. */
  learn(reported: readonly ReportedSuspect[]): void {
    const { book, clock, log, onEnd } = this.#options;
    const now = clock.steady();
    const news = new Set(book.learn(reported, now));
    for (const { request, crashes } of reported) {
      if (!news.has(request)) {
        continue;
      }
      for (const { upstream, endedAge } of crashes) {
        onEnd(upstream, now - endedAge);
      }
      log.info("Learns that upstreams ended under a request", {
        digest: request,
        upstreams: crashes.map(({ upstream }) => upstream).join(" "),
        standing: book.standing(request, now),
      });
    }
  }

  /** Forgets what is decided or remembered for long enough. */
  expire(): void {
    const now = this.#options.clock.steady();
    this.#options.book.expire(now);
    for (const [upstream, runs] of this.#undecided) {
      const left = runs.filter(({ run }) => now - run.endedAt < UNDECIDED_FOR);
      if (left.length > 0) {
        this.#undecided.set(upstream, left);
      } else {
        this.#undecided.delete(upstream);
      }
    }
  }

  #report(behind: number): void {
    const { book, clock, report } = this.#options;
    report(book.changesSince(behind, clock.steady()));
  }

  #isKnown(call: CallerRequest): boolean {
    return this.#options.book.mayKnow(call.service, call.body.length);
  }

  async #probe({ id, address }: UpstreamRecord): Promise<void> {
    if (this.#probing.has(id)) {
      return;
    }
    this.#probing.add(id);
    const isThere = await this.#options.probe(address);
    this.#probing.delete(id);
    if (!isThere) {
      this.noteEnd(id);
    }
  }
}

function keyOf(call: CallerRequest): SuspectKey {
  return {
    request: call.digest(),
    workspace: call.workspace?.name ?? "",
    service: call.service,
    size: call.body.length,
  };
}
