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
 * Time after a broken connection during which its upstream may turn out to have
 * crashed. The first heartbeat of the next instance may arrive seconds later.
 */
const UNDECIDED_TIMEOUT: Milliseconds = 8000;
/**
 * Time for which a successful probe stays valid, so that an upstream that
 * resets many connections isn't probed for each of them.
 */
const PROBE_INTERVAL: Milliseconds = 100;
/** Maximum number of undecided runs per upstream instance. */
const MAX_UNDECIDED_RUNS = 200;
/**
 * Maximum number of prompt parts that are suspected of one crash. Those that
 * the upstream had run for the shortest time are the likeliest.
 */
const MAX_PARTS_PER_CRASH = 16;
/** Crashes from which on other processes are told at once of a completion. */
const MIN_URGENT_CRASHES = 2;
/**
 * Time after a response that ends with its connection until its upstream is
 * probed: one that crashes ends its responses alike.
 */
const UNFRAMED_CHECK_DELAY: Milliseconds = 300;

type WatcherOptions = {
  readonly registry: SuspectRegistry;
  readonly clock: Clock;
  readonly log: Log;
  readonly metrics: Metrics;
  /** Whether the host:port accepts connections. */
  readonly probe: (address: string) => Promise<boolean>;
  /** Whether a newer instance of the same upstream is running. */
  readonly isReplaced: (upstream: string) => boolean;
  /** The service of an instance that is ready, if it is. */
  readonly serviceOf: (upstream: string) => string | undefined;
  /** Called with the identity of an instance that has crashed. */
  readonly onCrash: (upstream: string, at: Milliseconds) => void;
  /** Sends new or changed suspects to all other processes immediately. */
  readonly report: (changed: readonly ReportedSuspect[]) => void;
};

/** A connection that broke while running a request. */
type BrokenConnection = {
  /** Identity of the upstream instance. */
  readonly upstream: string;
  /** host:port */
  readonly address: string;
  readonly sentAt: Milliseconds;
  /** When the first byte of the response arrived; undefined if none did. */
  readonly begunAt?: Milliseconds | undefined;
};

/** A run whose connection broke for a reason not known yet. */
type UndecidedRun = {
  readonly request: RequestIdentity;
  readonly run: CrashedRun;
  readonly begunAt: Milliseconds | undefined;
};

/**
 * Distinguishes requests that crash upstreams from those that only run there. A
 * run counts as crashed once its upstream accepts no more connections or a
 * newer instance is running.
 */
export class SuspectWatcher {
  readonly #options: WatcherOptions;
  /** By identity of the upstream instance. */
  readonly #undecided = new Map<string, UndecidedRun[]>();
  /** Probes in flight, by identity of the upstream instance. */
  readonly #probes = new Map<string, Promise<void>>();
  /** When upstream instances last accepted a probe's connection. */
  readonly #reachableAt = new Map<string, Milliseconds>();
  /** Probe that a retry of a request waits for. */
  readonly #pendingProbes = new WeakMap<RequestIdentity, Promise<void>>();
  /** Keys of the rejected parts that were logged. */
  #announcedParts: ReadonlySet<string> = new Set();
  /** Number of copies of suspected requests that this entry runs, by digest. */
  readonly #inFlightCopies = new Map<string, number>();

  constructor(options: WatcherOptions) {
    this.#options = options;
  }

  /**
   * Resolves once the upstream whose connection last broke while running the
   * request has been probed, or at once if there was none. Without this wait,
   * retries could crash one upstream after another before the first crash is
   * detected.
   */
  async waitForProbe(request: RequestIdentity): Promise<void> {
    await this.#pendingProbes.get(request);
  }

  /** Returns how a request is treated if it is sent now. */
  status(request: RequestIdentity): SuspectStatus {
    const { registry, clock } = this.#options;
    if (this.findRejectedPart(request) !== undefined) {
      return SuspectStatus.rejected;
    }
    return this.#maySuspect(request)
      ? registry.statusOf(request.digest(), clock.steady())
      : SuspectStatus.unsuspected;
  }

  /** Returns the part of the prompt for which a request is rejected, if any. */
  findRejectedPart(request: RequestIdentity): string | undefined {
    const { registry, clock } = this.#options;
    return registry.hasSuspectedParts
      ? registry.findRejectedPart(request.parts(), clock.steady())
      : undefined;
  }

  /** Whether this entry is running another copy of the request. */
  isInFlight(request: RequestIdentity): boolean {
    return this.#maySuspect(request) &&
      this.#inFlightCopies.has(request.digest());
  }

  /**
   * Records that a copy of a request is being sent. Returns a function to call
   * when the copy has finished.
   */
  trackCopy(request: RequestIdentity): () => void {
    if (this.status(request) === SuspectStatus.unsuspected) {
      return () => {};
    }
    const digest = request.digest();
    this.#inFlightCopies.set(
      digest,
      (this.#inFlightCopies.get(digest) ?? 0) + 1,
    );
    return () => {
      const remaining = this.#inFlightCopies.get(digest)! - 1;
      if (remaining > 0) {
        this.#inFlightCopies.set(digest, remaining);
      } else {
        this.#inFlightCopies.delete(digest);
      }
    };
  }

  /** Records a complete response of which the upstream wrote all. */
  recordSuccess(request: RequestIdentity): void {
    this.recordCompletion(request);
    const { registry, clock } = this.#options;
    if (!registry.hasSuspectedParts) {
      return;
    }
    const now = clock.steady();
    const revisionBefore = registry.revision;
    let isUrgent = false;
    for (const part of request.parts()) {
      const crashes = registry.crashCountOf(part);
      const isCleared = registry.recordCompletion(part, now);
      isUrgent ||= isCleared && crashes >= MIN_URGENT_CRASHES;
    }
    // Any other change is sent with the next exchange.
    if (isUrgent) {
      this.#report(revisionBefore);
    }
  }

  /**
   * Records a response that ended with its connection and looks complete, once
   * its upstream turns out to be still running. The upstream is probed only if
   * the response would clear a crash.
   */
  recordUnframedSuccess(
    request: RequestIdentity,
    connection: BrokenConnection,
  ): void {
    if (!this.#wouldClear(request)) {
      return;
    }
    const endedAt = this.#options.clock.steady();
    setTimeout(() => {
      void this.#checkUnframed(request, { ...connection, endedAt });
    }, UNFRAMED_CHECK_DELAY).unref();
  }

  #wouldClear(request: RequestIdentity): boolean {
    const { registry } = this.#options;
    const keys = registry.hasSuspectedParts ? [...request.parts()] : [];
    if (this.#maySuspect(request)) {
      keys.push(request.digest());
    }
    return keys.some((key) => registry.crashCountOf(key) > 0);
  }

  async #checkUnframed(
    request: RequestIdentity,
    connection: BrokenConnection & { readonly endedAt: Milliseconds },
  ): Promise<void> {
    const { isReplaced, probe } = this.#options;
    const { upstream, address } = connection;
    if (!isReplaced(upstream) && await probe(address)) {
      this.recordSuccess(request);
    } else {
      this.#addUndecided(request, connection);
      this.recordCrash(upstream);
    }
  }

  /** Records a complete response to a request, also one about a failure. */
  recordCompletion(request: RequestIdentity): void {
    const { registry, clock, log } = this.#options;
    if (!this.#maySuspect(request)) {
      return;
    }
    const revisionBefore = registry.revision;
    if (registry.recordCompletion(request.digest(), clock.steady())) {
      log.info("A request that upstreams crashed on has completed", {
        request: request.attempt,
        digest: request.digest(),
      });
      this.#report(revisionBefore);
    }
  }

  /**
   * Records that the connection to an upstream broke while running a request.
   */
  recordBrokenConnection(
    request: RequestIdentity,
    connection: BrokenConnection,
  ): void {
    const { upstream, address } = connection;
    const endedAt = this.#options.clock.steady();
    if (!this.#addUndecided(request, { ...connection, endedAt })) {
      return;
    }
    if (this.#options.isReplaced(upstream)) {
      this.recordCrash(upstream);
    } else {
      this.#pendingProbes.set(request, this.#probe(upstream, address));
    }
  }

  /** Returns whether there was room for another run. */
  #addUndecided(
    request: RequestIdentity,
    { upstream, sentAt, begunAt, endedAt }: BrokenConnection & {
      readonly endedAt: Milliseconds;
    },
  ): boolean {
    const runs = this.#undecided.get(upstream) ?? [];
    if (runs.length >= MAX_UNDECIDED_RUNS) {
      return false;
    }
    runs.push({ request, run: { upstream, sentAt, endedAt }, begunAt });
    this.#undecided.set(upstream, runs);
    return true;
  }

  /**
   * Records that an upstream instance has crashed, because it is unreachable or
   * a newer instance is running.
   */
  recordCrash(upstream: string): void {
    const { registry, clock, log, metrics, onCrash, serviceOf } = this.#options;
    onCrash(upstream, clock.steady());
    const runs = this.#undecided.get(upstream) ?? [];
    this.#undecided.delete(upstream);
    const revisionBefore = registry.revision;
    let hasChanged = false;
    for (const { request, run } of runs) {
      const key = suspectKeyOf(request);
      if (!registry.recordCrash(key, run)) {
        continue;
      }
      hasChanged = true;
      const standing = registry.statusOf(key.request, clock.steady());
      metrics.increment(`crashes.${standing}`);
      log.info("An upstream crashed while running a request", {
        digest: key.request,
        upstream,
        service: key.service,
        workspace: key.workspace,
        ranFor: Math.round(run.endedAt - run.sentAt),
        standing,
      });
    }
    for (const { key, run } of listPartRuns(runs)) {
      hasChanged = registry.recordCrash(key, run) || hasChanged;
    }
    const service = serviceOf(upstream);
    // One without requests of this entry shows that others crash as well.
    if (runs.length === 0 && service !== undefined) {
      registry.recordInstanceCrash(upstream, { service, at: clock.steady() });
    }
    if (hasChanged) {
      this.#announceRejectedParts();
      this.#report(revisionBefore);
    }
  }

  /** Whether a connection to an instance broke for a reason not known yet. */
  isUndecided(upstream: string): boolean {
    return this.#undecided.has(upstream);
  }

  /** Merges suspects that other processes report. */
  mergeReports(reported: readonly ReportedSuspect[]): void {
    const { registry, clock, log, onCrash } = this.#options;
    const now = clock.steady();
    const changed = new Set(registry.merge(reported, now));
    for (const { request, crashes, isPart } of reported) {
      if (!changed.has(request)) {
        continue;
      }
      for (const { upstream, endedAge } of crashes) {
        onCrash(upstream, now - endedAge);
      }
      if (isPart === true) {
        continue;
      }
      log.info(
        "Received a report that upstreams crashed while running a request",
        {
          digest: request,
          upstreams: crashes.map(({ upstream }) => upstream).join(" "),
          standing: registry.statusOf(request, now),
        },
      );
    }
    if (changed.size > 0) {
      this.#announceRejectedParts();
    }
  }

  /** Logs which parts are rejected, when that changes. */
  #announceRejectedParts(): void {
    const { registry, clock, log, metrics } = this.#options;
    const rejected = registry.listRejectedParts(clock.steady());
    metrics.gauge("crashes.rejected_parts", rejected.length);
    for (const part of rejected) {
      if (!this.#announcedParts.has(part)) {
        log.warn(
          "Upstreams crash on a part of prompts; requests with it are rejected",
          {
            part,
            crashes: registry.crashCountOf(part),
            upstreams: registry.listCrashed(part).join(" "),
            parts: rejected.length,
          },
        );
      }
    }
    this.#announcedParts = new Set(rejected);
  }

  /** Drops expired suspects, undecided runs and probe results. */
  expire(): void {
    const now = this.#options.clock.steady();
    this.#options.registry.expire(now);
    for (const [upstream, runs] of this.#undecided) {
      const remaining = runs.filter(({ run }) =>
        now - run.endedAt < UNDECIDED_TIMEOUT
      );
      if (remaining.length > 0) {
        this.#undecided.set(upstream, remaining);
      } else {
        this.#undecided.delete(upstream);
      }
    }
    for (const [upstream, reachableAt] of this.#reachableAt) {
      if (now - reachableAt >= PROBE_INTERVAL) {
        this.#reachableAt.delete(upstream);
      }
    }
  }

  #report(sinceRevision: number): void {
    const { registry, clock, report } = this.#options;
    report(registry.changesSince(sinceRevision, clock.steady()));
  }

  #maySuspect(request: RequestIdentity): boolean {
    return this.#options.registry.hasSuspectOfSize(request.size);
  }

  #probe(upstream: string, address: string): Promise<void> {
    const pending = this.#probes.get(upstream);
    if (pending !== undefined) {
      return pending;
    }
    const { probe: connect, clock } = this.#options;
    const reachableAt = this.#reachableAt.get(upstream) ?? -Infinity;
    if (clock.steady() - reachableAt < PROBE_INTERVAL) {
      return Promise.resolve();
    }
    const probe = connect(address).then((isReachable) => {
      this.#probes.delete(upstream);
      if (isReachable) {
        this.#reachableAt.set(upstream, clock.steady());
      } else {
        this.recordCrash(upstream);
      }
    });
    this.#probes.set(upstream, probe);
    return probe;
  }
}

function suspectKeyOf(request: RequestIdentity): SuspectKey {
  return {
    request: request.digest(),
    workspace: request.workspace,
    service: request.service,
    size: request.size,
  };
}

/**
 * The runs of the prompt parts that were on a crashed upstream. A part that
 * several requests had in common ran for the sum of their times since the first
 * byte of a response.
 */
function listPartRuns(
  runs: readonly UndecidedRun[],
): { key: SuspectKey; run: CrashedRun }[] {
  const byPart = new Map<string, { key: SuspectKey; run: CrashedRun }>();
  for (const { request, run, begunAt = run.sentAt } of runs) {
    const { workspace, service } = request;
    for (const part of new Set(request.parts())) {
      const known = byPart.get(part)?.run;
      const endedAt = Math.min(known?.endedAt ?? Infinity, run.endedAt);
      const earlier = known === undefined ? 0 : known.endedAt - known.sentAt;
      const ranFor = earlier + run.endedAt - begunAt;
      byPart.set(part, {
        key: { request: part, workspace, service, size: 0, isPart: true },
        run: { upstream: run.upstream, sentAt: endedAt - ranFor, endedAt },
      });
    }
  }
  return [...byPart.values()]
    .sort((left, right) => right.run.sentAt - left.run.sentAt)
    .slice(0, MAX_PARTS_PER_CRASH);
}
