import type { UpstreamChanges } from "./upstream_changes.ts";
import type { RateLimit } from "./rate_limit.ts";
import type { ReportedSuspect } from "./reported_suspect.ts";
import type { ProcessUsage } from "./process_usage.ts";

/**
 * Changes at a control replica after the revision that another replica named.
 *
 * @public
 */
export type FeedReply = UpstreamChanges & {
  readonly feed: string;
  readonly revision: number;
  /** Absent from processes of releases that kept no usage. */
  readonly usage: ProcessUsage | undefined;
  /** See SyncReply. */
  readonly suspects?: readonly ReportedSuspect[] | undefined;
  /** See SyncReply. */
  readonly rateLimits?: readonly RateLimit[] | undefined;
};
