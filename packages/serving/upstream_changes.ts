import type { Milliseconds } from "@heroncleat/base";
import type { UpstreamRecord } from "./upstream_record.ts";

/** Changes of upstreams after a revision. @public */
export type UpstreamChanges = {
  /** Upstreams that are new or have changed. */
  readonly upstreams: readonly UpstreamRecord[];
  /**
   * Sequence numbers of the newest heartbeats of upstreams without other
   * changes.
   */
  readonly beats: Readonly<Record<string, number>>;
  /**
   * Time since the last update of each of these, if long: timeouts must expire
   * at the same time in every process. Absent from processes of older releases.
   */
  readonly ages?: Readonly<Record<string, Milliseconds>>;
  /**
   * Time since each of these that drains first said so, by instance ID. Absent
   * from processes of older releases.
   */
  readonly drainAges?: Readonly<Record<string, Milliseconds>>;
};
