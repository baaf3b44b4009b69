import type { Milliseconds } from "@heroncleat/base";
import type { UpstreamRecord } from "./upstream_record.ts";

/** What changed of upstreams since a revision. @public */
export type UpstreamChanges = {
  /** Those that are new or have changed. */
  readonly upstreams: readonly UpstreamRecord[];
  /** Newest heartbeat of those that sent one and have not changed. */
  readonly beats: Readonly<Record<string, number>>;
  /**
   * Time since each of these was heard, where that is long: silence must mean
   * the same to every process. Absent from processes of an older release.
   */
  readonly ages?: Readonly<Record<string, Milliseconds>>;
};
