import type { Milliseconds } from "@heroncleat/base";
import type { UpstreamRecord } from "./upstream_record.ts";

/** A record and when its last update came in. @public */
export type KnownUpstream = {
  readonly record: UpstreamRecord;
  /**
   * When the upstream was last heard, here or at the replica it reported to, on
   * this process's clock.
   */
  readonly receivedAt: Milliseconds;
  /** When this start of the upstream was first seen. */
  readonly firstReceivedAt: Milliseconds;
  /** Who passed the last update on; see UpdateSource. */
  readonly reporter: string;
};
