import type { UpstreamChanges } from "./upstream_changes.ts";
import type { ProcessUsage } from "./process_usage.ts";

/** What a control replica answers another one behind a revision. @public */
export type FeedReply = UpstreamChanges & {
  readonly feed: string;
  readonly revision: number;
  /** Absent from processes of a release that kept none. */
  readonly usage: ProcessUsage | undefined;
};
