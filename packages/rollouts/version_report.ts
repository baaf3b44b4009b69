import type { Milliseconds } from "@heroncleat/base";
import type { RouteSamples } from "./route_samples.ts";

/** Samples of one route, of the new version and of all others. @public */
export type RouteComparison = {
  readonly destination: RouteSamples;
  readonly others: RouteSamples;
};

/** Samples that an entry has collected since a rollout was ordered. @public */
export type VersionReport = {
  readonly service: string;
  /** Identifies the rollout. */
  readonly startedAt: Milliseconds;
  /** By name of the route. */
  readonly routes: Readonly<Record<string, RouteComparison>>;
};
