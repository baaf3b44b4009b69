import type { DemandReport } from "@heroncleat/shedding";
import type { UpstreamLoad } from "./upstream_load.ts";

/** State of the other entries, from one replica at a time. @public */
export type SharedState = {
  /** Sequence number of the newest heartbeat of upstreams without changes. */
  readonly beats: Readonly<Record<string, number>>;
  readonly loadsOfOthers: Readonly<Record<string, UpstreamLoad>>;
  /** Whether `loadsOfOthers` contains only what changed since `loadsSince`. */
  readonly areLoadsPartial?: true;
  /**
   * Demand at all entries, the receiver included, by service that is short;
   * absent if none is, and from older releases.
   */
  readonly demand?: DemandReport | undefined;
  /** Median of the entries' measurements, by service; see SyncRequest. */
  readonly readingSpeeds: Readonly<Record<string, number>>;
  /** Whether the replica issues permits; see PermitReply. */
  readonly issuesPermits?: true | undefined;
  /** Share of all quotas that the entries reporting to this replica may use. */
  readonly quotaShare: number;
};
