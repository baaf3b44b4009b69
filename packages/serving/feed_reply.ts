import type { UpstreamChanges } from "./upstream_changes.ts";
import type { ReportedSuspect } from "./reported_suspect.ts";
import type { ProcessUsage } from "./process_usage.ts";

/** What a control replica answers another one behind a revision. @public */
export type FeedReply = UpstreamChanges & {
  readonly feed: string;
  readonly revision: number;
  /** Absent from processes of a release that kept none. */
  readonly usage: ProcessUsage | undefined;
  /** See SyncReply. */
  readonly suspects?: readonly ReportedSuspect[] | undefined;
};
