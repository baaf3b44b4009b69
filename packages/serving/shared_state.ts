import type { UpstreamLoad } from "./upstream_load.ts";

/** What an entry learns of the others from one replica at a time. @public */
export type SharedState = {
  /** Newest heartbeat of upstreams that have not changed. */
  readonly beats: Readonly<Record<string, number>>;
  readonly loadsOfOthers: Readonly<Record<string, UpstreamLoad>>;
  /** Whether those are only what changed since the revision that was named. */
  readonly areLoadsPartial?: true;
  /** Median of what entries measured, by service; see SyncRequest. */
  readonly readingSpeeds: Readonly<Record<string, number>>;
  /** Part of all quotas that the entries in reach of this replica may use. */
  readonly quotaShare: number;
};
