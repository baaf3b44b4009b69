import type { Clock, Milliseconds } from "@heroncleat/base";
import {
  isInProgress,
  type Rollout,
  type UpstreamFilter,
  VersionGate,
  type VersionReport,
  type VersionSample,
  VersionSamples,
} from "@heroncleat/rollouts";
import type { ChosenUpstream, KnownUpstream } from "@heroncleat/serving";

/** Shorter expected times are too small to compare with. */
const MIN_EXPECTED_TIME: Milliseconds = 20;

type WatcherOptions = {
  readonly clock: Pick<Clock, "steady">;
  readonly listUpstreams: () => Iterable<KnownUpstream>;
  /** Returns a number from 0 to 1. */
  readonly random: () => number;
};

/** Records how one request to a chosen upstream goes. */
export type VersionTracker = {
  /** @param took Time from sending to the first byte. */
  readonly recordFirstByte: (took: Milliseconds) => void;
  /**
   * @param isFailure Undefined if the upstream gave no complete response.
   */
  readonly finish: (isFailure: boolean | undefined) => void;
};

/** Applies rollouts to the requests of this entry. */
export class RolloutWatcher {
  readonly #options: WatcherOptions;
  readonly #gate = new VersionGate();
  readonly #samples = new VersionSamples();

  constructor(options: WatcherOptions) {
    this.#options = options;
  }

  /** Newest change that is followed; undefined without rollouts. */
  get revision(): number | undefined {
    return this.#gate.revision > 0 ? this.#gate.revision : undefined;
  }

  /** Samples of the services that are being rolled out. */
  report(): readonly VersionReport[] | undefined {
    return this.#samples.report();
  }

  merge(rollouts: readonly Rollout[]): void {
    this.#gate.merge(rollouts);
    this.#samples.follow(
      rollouts.map(({ service }) => this.#gate.get(service)!),
    );
  }

  /** Whether versions of a service are being rolled out. */
  isInProgress(service: string): boolean {
    const rollout = this.#gate.get(service);
    return rollout !== undefined && isInProgress(rollout);
  }

  observe(upstream: KnownUpstream, now: Milliseconds): void {
    this.#gate.observe(upstream, now);
  }

  /** Filters of upstreams for one attempt, the preferred one first. */
  admit(
    service: string,
    { isRetry }: { isRetry: boolean },
  ): readonly (UpstreamFilter | undefined)[] {
    const { clock, listUpstreams, random } = this.#options;
    return this.#gate.admit(service, {
      now: clock.steady(),
      upstreams: listUpstreams,
      isRetry,
      random: random(),
    }) ?? ADMIT_ALL;
  }

  /** Tracks a request that is sent; undefined if its service isn't rolled out. */
  track(
    { upstream, expectedFirstTokenTime, isLengthPlausible }: ChosenUpstream,
    options: { route: string; isStream: boolean },
  ): VersionTracker | undefined {
    const { service, version } = upstream.record;
    const { route, isStream } = options;
    const record = this.#samples.begin({ service, route, version });
    if (record === undefined) {
      return undefined;
    }
    const { clock } = this.#options;
    const sentAt = clock.steady();
    const expected = Math.max(expectedFirstTokenTime, MIN_EXPECTED_TIME);
    let firstByteRatio: VersionSample["firstByteRatio"];
    return {
      recordFirstByte: (took) => {
        firstByteRatio = isStream && isLengthPlausible
          ? took / expected
          : undefined;
      },
      finish: (isFailure) =>
        record({ isFailure, firstByteRatio, total: clock.steady() - sentAt }),
    };
  }
}

const ADMIT_ALL = [undefined] as const;
