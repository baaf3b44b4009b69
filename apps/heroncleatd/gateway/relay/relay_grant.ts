/**
 * What an entry states about a request that it passes on: it has checked the
 * key, charged the quota and counted the request, and it decides on retries.
 */
export type RelayGrant = {
  /** Name of the entry that passes the request on. */
  readonly entry: string;
  readonly service: string;
  /** Name of the workspace; undefined if the route needs none. */
  readonly workspace: string | undefined;
  /** Version of the configuration document that the entry has applied. */
  readonly documentVersion: number;
  /** Identifiers of upstreams that were tried. */
  readonly excluded: readonly string[];
  /** The only software version that may run it; absent if any may. */
  readonly version?: string | undefined;
  /** Whether the request was already counted as begun. */
  readonly isUsageCounted: boolean;
};
