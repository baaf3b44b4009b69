import type { Milliseconds } from "@heroncleat/base";
import { isInProgress } from "./is_in_progress.ts";
import type { Rollout } from "./rollout.ts";
import { versionSide } from "./version_side.ts";
import type { RouteSamples } from "./route_samples.ts";
import { valueBuckets } from "./value_buckets.ts";
import type { RouteComparison, VersionReport } from "./version_report.ts";

/** Limits the size of a report; requests of further routes aren't sampled. */
const MAX_ROUTES = 32;

type MutableSamples = {
  sent: number;
  answered: number;
  failed: number;
  readonly firstByte: Record<string, number>;
  readonly total: Record<string, number>;
};

/** Samples of one service since its rollout was ordered. */
type ServiceSamples = {
  readonly rollout: Rollout;
  readonly routes: Map<
    string,
    { readonly destination: MutableSamples; readonly others: MutableSamples }
  >;
};

/** How one request to an upstream went. @public */
export type VersionSample = {
  /** Undefined if no byte of a complete response arrived. */
  readonly isFailure: boolean | undefined;
  /** Time to the first byte as a multiple of the expected one, if known. */
  readonly firstByteRatio: number | undefined;
  readonly total: Milliseconds;
};

/**
 * Counts at an entry how requests to the versions of a service go while it is
 * rolled out.
 *
 * @public
 */
export class VersionSamples {
  readonly #services = new Map<string, ServiceSamples>();

  /** Follows the rollouts; samples of one that has ended are dropped. */
  follow(rollouts: Iterable<Rollout>): void {
    for (const rollout of rollouts) {
      const known = this.#services.get(rollout.service);
      if (!isInProgress(rollout)) {
        this.#services.delete(rollout.service);
      } else if (known?.rollout.startedAt !== rollout.startedAt) {
        this.#services.set(rollout.service, { rollout, routes: new Map() });
      }
    }
  }

  /**
   * Counts a request that is sent.
   *
   * @returns Records how it went; undefined if the service isn't rolled out.
   */
  begin(
    request: { service: string; route: string; version: string | undefined },
  ): ((sample: VersionSample) => void) | undefined {
    const samples = this.#samplesOf(request);
    if (samples === undefined) {
      return undefined;
    }
    samples.sent += 1;
    return ({ isFailure, firstByteRatio, total }) => {
      count(samples.total, total);
      if (firstByteRatio !== undefined) {
        count(samples.firstByte, firstByteRatio);
      }
      if (isFailure !== undefined) {
        samples.answered += 1;
        samples.failed += isFailure ? 1 : 0;
      }
    };
  }

  /** All samples, for the control replicas; undefined if there are none. */
  report(): readonly VersionReport[] | undefined {
    if (this.#services.size === 0) {
      return undefined;
    }
    return [...this.#services.values()].map(({ rollout, routes }) => ({
      service: rollout.service,
      startedAt: rollout.startedAt,
      routes: Object.fromEntries(routes) as Record<string, RouteComparison>,
    }));
  }

  #samplesOf(
    { service, route, version }: {
      service: string;
      route: string;
      version: string | undefined;
    },
  ): MutableSamples | undefined {
    const known = this.#services.get(service);
    if (known === undefined) {
      return undefined;
    }
    const { rollout, routes } = known;
    let comparison = routes.get(route);
    if (comparison === undefined) {
      if (routes.size >= MAX_ROUTES) {
        return undefined;
      }
      comparison = { destination: noSamples(), others: noSamples() };
      routes.set(route, comparison);
    }
    return versionSide(rollout, version) === "destination"
      ? comparison.destination
      : comparison.others;
  }
}

function count(buckets: Record<string, number>, value: number): void {
  const bucket = valueBuckets.of(value);
  buckets[bucket] = (buckets[bucket] ?? 0) + 1;
}

function noSamples(): MutableSamples & RouteSamples {
  return { sent: 0, answered: 0, failed: 0, firstByte: {}, total: {} };
}
