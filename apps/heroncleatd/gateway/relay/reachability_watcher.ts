import type { Clock, Milliseconds } from "@heroncleat/base";
import {
  type KnownUpstream,
  UpstreamReachability,
  upstreamVersion,
} from "@heroncleat/serving";
import type { Log } from "../../common/log.ts";
import type { Metrics } from "../../common/metrics.ts";
import { mayCancelWaiting } from "./may_cancel_waiting.ts";
import type { WaitObservation } from "./wait_observation.ts";
import type { WaitingRequest } from "./waiting_request.ts";

/** Interval at which silence is checked while requests wait. */
const CHECK_INTERVAL: Milliseconds = 100;

type WatcherOptions = {
  readonly clock: Pick<Clock, "steady">;
  readonly log: Log;
  readonly metrics: Metrics;
  readonly listUpstreams: () => Iterable<KnownUpstream>;
  /**
   * Whether a connection to an address (host:port) can be opened; undefined if
   * that can't be tried.
   */
  readonly probe: (address: string) => Promise<boolean | undefined>;
  /** Called when this entry loses all upstreams of a service, or regains one. */
  readonly onChange: () => void;
  /** Closes the idle connections to an upstream. */
  readonly closeIdle: (upstream: string) => void;
  readonly random: () => number;
};

/**
 * Tracks for each service whether this entry reaches any of its upstreams, and
 * probes them when none responds.
 */
export class ReachabilityWatcher {
  readonly #options: WatcherOptions;
  readonly #services = new Map<string, UpstreamReachability>();
  readonly #waiting = new Set<WaitingRequest>();
  /** Probes under way that tell whether a service is reachable. */
  readonly #pendingProbes = new Map<string, Promise<void>>();
  #timer: NodeJS.Timeout | undefined;

  constructor(options: WatcherOptions) {
    this.#options = options;
  }

  isCutOff(service: string): boolean {
    return this.#services.get(service)?.isCutOff ?? false;
  }

  /** Whether trying an upstream of a service may take long, and in vain. */
  isInDoubt(service: string): boolean {
    const now = this.#options.clock.steady();
    return this.#services.get(service)?.isInDoubt(now) ?? false;
  }

  /**
   * Whether to refuse what other entries pass on: this one reaches no upstream
   * either, or may not.
   */
  refusesRelays(service: string): boolean {
    return this.isInDoubt(service) || this.reachesNone(service);
  }

  /** Whether no upstream of the service is reachable or untried. */
  reachesNone(service: string): boolean {
    return this.isCutOff(service) && !this.hasUntried(service);
  }

  /** Lists the services of which no upstream is reachable, in order. */
  listCutOff(): string[] {
    return [...this.#services]
      .filter(([_service, { isCutOff }]) => isCutOff)
      .map(([service]) => service)
      .sort();
  }

  /** Whether an upstream of the service may work that hasn't failed yet. */
  hasUntried(service: string): boolean {
    const reachability = this.#stateOf(service);
    return this.#listReady(service).some(({ record }) =>
      !reachability.hasFailed(record.id)
    );
  }

  /**
   * Finds out whether some upstream of a service accepts connections, so that
   * refused ones are no sign that the links of this entry are at fault.
   *
   * @param since Monotonic time after which a connection must have opened.
   */
  async reaches(service: string, since: Milliseconds): Promise<boolean> {
    const reachability = this.#stateOf(service);
    if (!reachability.hasConnectedSince(since)) {
      const pending = this.#pendingProbes.get(service) ??
        this.#probeMissing(service).finally(() =>
          this.#pendingProbes.delete(service)
        );
      this.#pendingProbes.set(service, pending);
      await pending;
    }
    return !reachability.isCutOff;
  }

  /** Records that a connection to an upstream couldn't be opened. */
  recordFailure(
    upstream: { readonly id: string; readonly service: string },
    failure: { startedAt: Milliseconds; isSilent: boolean },
  ): void {
    const { clock, log, metrics } = this.#options;
    const { service, id } = upstream;
    const now = clock.steady();
    const verdict = this.#stateOf(service).recordFailure(id, {
      startedAt: failure.startedAt,
      now,
      ...this.#summarizeReady(service, id),
      isSilent: failure.isSilent,
    });
    if (verdict === "probe") {
      void this.#probeMissing(service);
    }
    if (verdict !== "cut_off") {
      return;
    }
    metrics.increment("reachability.lost");
    log.warn(
      "No upstream of a service is reachable; passing its requests on to " +
        "other entries",
      { service, upstream: id, silent: failure.isSilent ? "yes" : "no" },
    );
    for (const { record } of this.#listReady(service)) {
      this.#options.closeIdle(record.id);
    }
    if (failure.isSilent) {
      // Reads first what has arrived meanwhile.
      setImmediate(() => this.#cancelWaiting(service));
    }
    this.#startTimer();
    this.#options.onChange();
  }

  /**
   * Tracks a request that waits for its response.
   *
   * @returns Must be called with whether a response began, once it has, or the
   *     request has failed.
   */
  trackWaiting(
    { id: upstream, service }: {
      readonly id: string;
      readonly service: string;
    },
    observation: WaitObservation,
  ): (hasResponse: boolean) => void {
    const { clock } = this.#options;
    const sentAt = clock.steady();
    const request: WaitingRequest = {
      ...observation,
      upstream,
      service,
      sentAt,
      seenBytes: observation.upstreamBytes(),
      heardAt: sentAt,
    };
    this.#waiting.add(request);
    this.#startTimer();
    return (hasResponse) => {
      this.#waiting.delete(request);
      if (hasResponse) {
        this.#stateOf(service).recordResponse(clock.steady());
      }
    };
  }

  /**
   * Whether an upstream accepts connections, as far as this entry can tell: if
   * it reaches no other one either, its own links are at fault.
   *
   * @param address host:port
   */
  async mayRun(address: string): Promise<boolean> {
    const upstream = this.#findByAddress(address);
    if (upstream === undefined) {
      return await this.#options.probe(address) !== false;
    }
    if (await this.#probeInTurn(upstream)) {
      return true;
    }
    const { service } = upstream.record;
    return this.isCutOff(service) && this.#listReady(service).length > 1;
  }

  stop(): void {
    clearInterval(this.#timer);
    this.#timer = undefined;
  }

  #check(): void {
    const now = this.#options.clock.steady();
    this.#observe(now);
    for (const [service, reachability] of this.#services) {
      if (!reachability.takeProbe(this.#waitingSince(service), now)) {
        continue;
      }
      const upstream = this.#pickUntried(service) ??
        this.#pick(this.#listReady(service));
      if (upstream !== undefined) {
        void this.#probeInTurn(upstream);
      }
    }
    if (this.#waiting.size === 0 && !this.#isAnyCutOff()) {
      this.stop();
    }
  }

  /**
   * Probes an upstream, and if it fails others until one accepts a connection
   * or this entry is cut off. Returns whether the first one didn't fail.
   */
  async #probeInTurn(upstream: KnownUpstream): Promise<boolean> {
    if (await this.#probe(upstream)) {
      return true;
    }
    const { service } = upstream.record;
    const other = this.#pickUntried(service);
    if (
      !this.isCutOff(service) && other !== undefined &&
      !await this.#probe(other)
    ) {
      await this.#probeMissing(service);
    }
    return false;
  }

  /** Probes as many further upstreams as decide whether this entry is cut off. */
  async #probeMissing(service: string): Promise<void> {
    const reachability = this.#stateOf(service);
    const untried = this.#listReady(service).filter(({ record }) =>
      !reachability.hasFailed(record.id)
    );
    const triedVersions = this.#listTriedVersions(service);
    const probes: Promise<boolean>[] = [];
    const missing = reachability.countMissing(this.#summarizeReady(service));
    while (probes.length < missing) {
      const ofOthers = untried.filter(({ record }) =>
        !triedVersions.has(upstreamVersion(record.version))
      );
      const upstream = this.#pick(ofOthers) ?? this.#pick(untried);
      if (upstream === undefined) {
        break;
      }
      triedVersions.add(upstreamVersion(upstream.record.version));
      untried.splice(untried.indexOf(upstream), 1);
      probes.push(this.#probe(upstream));
    }
    await Promise.all(probes);
  }

  /** Versions of a service of which an upstream has failed, or `failing` does. */
  #listTriedVersions(service: string, failing?: string): Set<string> {
    const reachability = this.#stateOf(service);
    const versions = new Set<string>();
    for (const { record } of this.#listReady(service)) {
      if (record.id === failing || reachability.hasFailed(record.id)) {
        versions.add(upstreamVersion(record.version));
      }
    }
    return versions;
  }

  #summarizeReady(
    service: string,
    failing?: string,
  ): { upstreams: number; untriedVersions: number } {
    const ready = this.#listReady(service);
    const versions = new Set(
      ready.map(({ record }) => upstreamVersion(record.version)),
    );
    const tried = this.#listTriedVersions(service, failing);
    return {
      upstreams: ready.length,
      untriedVersions: versions.size - tried.size,
    };
  }

  /** Returns whether the upstream didn't fail. */
  async #probe({ record }: KnownUpstream): Promise<boolean> {
    const { clock, log, metrics, probe } = this.#options;
    const startedAt = clock.steady();
    metrics.increment("reachability.probes");
    const isReachable = await probe(record.address);
    if (isReachable === undefined) {
      return true;
    }
    if (!isReachable) {
      this.recordFailure(record, { startedAt, isSilent: true });
    } else if (this.#stateOf(record.service).recordConnection(clock.steady())) {
      log.info("Upstreams of a service are reachable again", {
        service: record.service,
        upstream: record.id,
      });
      this.#options.onChange();
    }
    return isReachable;
  }

  /** Failed connections say nothing about an upstream that isn't listed. */
  #cancelWaiting(service: string): void {
    const now = this.#options.clock.steady();
    if (!this.isCutOff(service)) {
      return;
    }
    this.#observe(now);
    const listed = new Set<string>();
    for (const { record } of this.#options.listUpstreams()) {
      listed.add(record.id);
    }
    let cancelled = 0;
    for (const request of [...this.#waiting]) {
      const mayCancel = mayCancelWaiting({
        waited: now - request.sentAt,
        hasReceived: request.bytesReceived() > 0,
        upstreamSilence: now - request.heardAt,
      });
      if (
        request.service === service && listed.has(request.upstream) && mayCancel
      ) {
        cancelled += request.tryCancel?.(cancelled) === true ? 1 : 0;
      }
    }
  }

  /** Notes which upstreams have delivered since the last check. */
  #observe(now: Milliseconds): void {
    for (const request of this.#waiting) {
      const bytes = request.upstreamBytes();
      if (bytes !== request.seenBytes) {
        request.seenBytes = bytes;
        request.heardAt = now;
      }
    }
  }

  #waitingSince(service: string): Milliseconds | undefined {
    for (const request of this.#waiting) {
      // In order of insertion, so the first is the oldest.
      if (request.service === service) {
        return request.sentAt;
      }
    }
    return undefined;
  }

  #isAnyCutOff(): boolean {
    return [...this.#services.values()].some(({ isCutOff }) => isCutOff);
  }

  #startTimer(): void {
    this.#timer ??= setInterval(() => this.#check(), CHECK_INTERVAL).unref();
  }

  #listReady(service: string): KnownUpstream[] {
    return [...this.#options.listUpstreams()].filter(({ record }) =>
      record.service === service && record.state === "ready"
    );
  }

  #findByAddress(address: string): KnownUpstream | undefined {
    return [...this.#options.listUpstreams()].find(({ record }) =>
      record.address === address && record.state === "ready"
    );
  }

  #pickUntried(service: string): KnownUpstream | undefined {
    const reachability = this.#stateOf(service);
    return this.#pick(
      this.#listReady(service).filter(({ record }) =>
        !reachability.hasFailed(record.id)
      ),
    );
  }

  #pick(upstreams: readonly KnownUpstream[]): KnownUpstream | undefined {
    return upstreams[Math.floor(this.#options.random() * upstreams.length)];
  }

  #stateOf(service: string): UpstreamReachability {
    const existing = this.#services.get(service);
    if (existing !== undefined) {
      return existing;
    }
    const created = new UpstreamReachability();
    this.#services.set(service, created);
    return created;
  }
}
