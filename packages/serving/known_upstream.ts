import type { Milliseconds } from "@heroncleat/base";
import type { UpstreamRecord } from "./upstream_record.ts";

/** The record of an upstream instance and when it was last updated. @public */
export type KnownUpstream = {
  readonly record: UpstreamRecord;
  /**
   * When the upstream last sent an update, here or to the reporting replica, by
   * the local clock.
   */
  readonly receivedAt: Milliseconds;
  /** When this instance was first seen. */
  readonly firstReceivedAt: Milliseconds;
  /** Sender of the last update; see UpdateSource. */
  readonly reporter: string;
  /**
   * When it said that it drains, or earlier; undefined if it doesn't drain, or
   * that isn't known.
   */
  readonly drainingSince?: Milliseconds | undefined;
};
