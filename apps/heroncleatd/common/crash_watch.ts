import type { Clock, Milliseconds } from "@heroncleat/base";
import {
  type CrashedRun,
  type ReportedSuspect,
  type SuspectKey,
  type SuspectRegistry,
  SuspectStatus,
} from "@heroncleat/serving";
import type { Log } from "./log.ts";
import type { Metrics } from "./metrics.ts";
import type { RequestIdentity } from "./request_identity.ts";

/**
 * Time for which a connection that ended may turn out to be the end of its
 * upstream: heartbeats of the next start come seconds later.
 */
const UNDECIDED_FOR: Milliseconds = 8000;
/**
 * Time for which an upstream that took a connection needn't be asked again: one
 * that resets many of its connections would get as many new ones.
 */
const PROBE_PAUSE: Milliseconds = 100;
/** Connections that ended and are undecided, of one upstream. */
const MOST_UNDECIDED = 200;

/** What the watch is built from. */
type WatchOptions = {
  readonly book: SuspectRegistry;
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

/** A connection that ended under a request. */
type BrokenConnection = {
  /** Identity of the start that it led to. */
  readonly upstream: string;
  /** host:port */
  readonly address: string;
  readonly sentAt: Milliseconds;
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
  /** Probes under way, by identity of the start. */
  readonly #probes = new Map<string, Promise<void>>();
  /** When upstreams last took a probe's connection. */
  readonly #foundAt = new Map<string, Milliseconds>();
  /** What a request that is sent once more waits for. */
  readonly #deciding = new WeakMap<RequestIdentity, Promise<void>>();
  /** Copies of suspected requests that this entry runs, by digest. */
  readonly #underWay = new Map<string, number>();

  constructor(options: WatchOptions) {
    this.#options = options;
  }

  /**
   * Resolves once it is known whether the upstream is there whose connection
   * ended last under a request; at once where none did. Repeats would outrun
   * that and end one upstream after the other.
   */
  async decided(request: RequestIdentity): Promise<void> {
    await this.#deciding.get(request);
  }

  /** What becomes of a request that is sent now. */
  standing(request: RequestIdentity): SuspectStatus {
    const { book, clock } = this.#options;
    return this.#isKnown(request)
      ? book.statusOf(request.digest(), clock.steady())
      : SuspectStatus.unsuspected;
  }

  /** Whether another copy of a request runs by way of this entry. */
  isUnderWay(request: RequestIdentity): boolean {
    return this.#isKnown(request) && this.#underWay.has(request.digest());
  }

  /** Notes that a copy goes out; call what it returns when that has ended. */
  begin(request: RequestIdentity): () => void {
    if (this.standing(request) === SuspectStatus.unsuspected) {
      return () => {};
    }
    const digest = request.digest();
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
  noteAnswer(request: RequestIdentity): void {
    const { book, clock, log } = this.#options;
    if (!this.#isKnown(request)) {
      return;
    }
    const before = book.revision;
    if (book.recordCompletion(request.digest(), clock.steady())) {
      log.info("A request under which upstreams ended was answered whole", {
        request: request.attempt,
        digest: request.digest(),
      });
      this.#report(before);
    }
  }

  /** Notes that the connection to an upstream ended under a request. */
  noteBreak(
    request: RequestIdentity,
    { upstream, address, sentAt }: BrokenConnection,
  ): void {
    const runs = this.#undecided.get(upstream) ?? [];
    if (runs.length >= MOST_UNDECIDED) {
      return;
    }
    const endedAt = this.#options.clock.steady();
    const run = { upstream, sentAt, endedAt };
    runs.push({ key: keyOf(request), run });
    this.#undecided.set(upstream, runs);
    if (this.#options.isOver(upstream)) {
      this.noteEnd(upstream);
    } else {
      this.#deciding.set(request, this.#probe(upstream, address));
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
      if (!book.recordCrash(key, run)) {
        continue;
      }
      isNews = true;
      const standing = book.statusOf(key.request, clock.steady());
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
    const news = new Set(book.merge(reported, now));
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
        standing: book.statusOf(request, now),
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
    for (const [upstream, foundAt] of this.#foundAt) {
      if (now - foundAt >= PROBE_PAUSE) {
        this.#foundAt.delete(upstream);
      }
    }
  }

  #report(behind: number): void {
    const { book, clock, report } = this.#options;
    report(book.changesSince(behind, clock.steady()));
  }

  #isKnown(request: RequestIdentity): boolean {
    return this.#options.book.hasSuspectOfSize(request.size);
  }

  #probe(upstream: string, address: string): Promise<void> {
    const known = this.#probes.get(upstream);
    if (known !== undefined) {
      return known;
    }
    const { probe: connect, clock } = this.#options;
    const foundAt = this.#foundAt.get(upstream) ?? -Infinity;
    if (clock.steady() - foundAt < PROBE_PAUSE) {
      return Promise.resolve();
    }
    const probe = connect(address).then((isThere) => {
      this.#probes.delete(upstream);
      if (isThere) {
        this.#foundAt.set(upstream, clock.steady());
      } else {
        this.noteEnd(upstream);
      }
    });
    this.#probes.set(upstream, probe);
    return probe;
  }
}

function keyOf(request: RequestIdentity): SuspectKey {
  return {
    request: request.digest(),
    workspace: request.workspace,
    service: request.service,
    size: request.size,
  };
}
