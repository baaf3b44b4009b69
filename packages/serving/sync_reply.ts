import type { Milliseconds } from "@heroncleat/base";
import type { Rollout } from "@heroncleat/rollouts";
import type { FollowedShares } from "./followed_share.ts";
import type { KnownEntry } from "./known_entry.ts";
import type { EntryChanges } from "./entry_changes.ts";
import type { RateLimit } from "./rate_limit.ts";
import type { ReportedSuspect } from "./reported_suspect.ts";
import type { RelayedChargeReport } from "./relayed_charge_report.ts";
import type { ServiceVersions } from "./service_versions.ts";
import type { SharedState } from "./shared_state.ts";
import type { UpstreamRecord } from "./upstream_record.ts";

/** Reply of a control replica to an entry. @public */
export type SyncReply = {
  /** ID of the feed, which changes with each control process. */
  readonly feed: string;
  readonly revision: number;
  /** Whether the replica leads the group. */
  readonly isLeading: boolean;
  /** host:port of the replica that leads, if it is another one and known. */
  readonly leader?: string | undefined;
  /** Whether entries have full exchanges with the replica; absent if none. */
  readonly isPrimary?: true | undefined;
  /**
   * Time without a report after which an entry that has short exchanges counts
   * as unresponsive, if there are many entries; else they get 1,200 ms.
   */
  readonly shortReportTimeout?: Milliseconds | undefined;
  /** Upstreams that changed after the revision that the entry named. */
  readonly upstreams: readonly UpstreamRecord[];
  /**
   * Shares of the upstreams that the entry must follow from now on; absent if
   * unchanged.
   */
  readonly followed?: FollowedShares | undefined;
  /** See UpstreamChanges; of `upstreams` and of `shared.beats`. */
  readonly ages?: Readonly<Record<string, Milliseconds>>;
  /** See UpstreamChanges; of `upstreams`. */
  readonly drainAges?: Readonly<Record<string, Milliseconds>>;
  /**
   * The newest configuration document, encoded by documentCodec, if it is
   * confirmed and the entry's version is older.
   */
  readonly document: string | undefined;
  /**
   * Open entries, if the list changed after the revision; the full list for an
   * entry that has no list yet or accepts no changes.
   */
  readonly entries: readonly KnownEntry[] | undefined;
  /** Changes of that list after the revision. */
  readonly entryChanges?: EntryChanges | undefined;
  /** Number of entries that report to the replica, whether open or not. */
  readonly entryCount?: number;
  /**
   * Number of entries that may use a share of what all have in common, also ones
   * that fell silent lately.
   */
  readonly sharingEntries?: number;
  /** host:port of the control replicas. */
  readonly controls: readonly string[];
  /** Median of the wall clocks of all entries, in ms since 1970. */
  readonly wall: Milliseconds;
  /**
   * Tokens that the other entries charged since this process first received a
   * report of them, by quota bucket; for an entry that accepts changes, only
   * buckets that changed after the revision.
   */
  readonly spentByOthers: Readonly<Record<string, number>>;
  /** Entries that the replica has a record of but that don't report to it. */
  readonly unheard?: readonly string[];
  /** Charges of the entries in `wantedCharges` that report to the replica. */
  readonly charges?: Readonly<Record<string, RelayedChargeReport>>;
  /** Whether the replica accepts partial reports. */
  readonly takesPartial?: true;
  /** Whether the report was rejected and a full one is required. */
  readonly needsWhole?: true | undefined;
  /**
   * Requests that ran on upstreams that crashed, as far as they changed after
   * the revision; absent if none did.
   */
  readonly suspects?: readonly ReportedSuspect[] | undefined;
  /**
   * Rate limits of upstreams that changed after the revision; absent if none
   * did.
   */
  readonly rateLimits?: readonly RateLimit[] | undefined;
  /** All rollouts, if one changed after the revision that the entry named. */
  readonly rollouts?: readonly Rollout[] | undefined;
  /**
   * Software versions that may have begun a stream, if they changed after the
   * revision; absent if they didn't, and from older releases.
   */
  readonly versions?: ServiceVersions | undefined;
  /** State shared between entries; present in replies to full exchanges. */
  readonly shared: SharedState | undefined;
};
