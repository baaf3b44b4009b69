import type { Milliseconds } from "@heroncleat/base";
import type { VersionReport } from "@heroncleat/rollouts";
import type { DemandReport } from "@heroncleat/shedding";
import type { FollowedShares } from "./followed_share.ts";
import type { RateLimit } from "./rate_limit.ts";
import type { ReportedSuspect } from "./reported_suspect.ts";
import type { RelayedChargeReport } from "./relayed_charge_report.ts";
import type { UpstreamLoad } from "./upstream_load.ts";
import type { WorkspaceCounts } from "./workspace_counts.ts";

/**
 * Report of an entry to a control replica, sent several times a second.
 *
 * @public
 */
export type SyncRequest = {
  readonly entry: {
    readonly name: string;
    /** ID of the process incarnation. */
    readonly boot: string;
    /** host:port for callers. */
    readonly address: string;
    readonly zone: string;
    readonly region: string;
    /** Whether callers may be sent to it. */
    readonly isOpen: boolean;
    /**
     * Services of which it reaches no upstream, in order; absent if there are
     * none, and from older releases.
     */
    readonly unreachable?: readonly string[] | undefined;
  };
  /** The entry's wall clock, in ms since 1970. */
  readonly wall: Milliseconds;
  /** The feed that the entry follows; `revision` is how far it has read it. */
  readonly feed: string;
  readonly revision: number;
  /**
   * Version of the configuration document in force at the entry; -1 for none.
   */
  readonly documentVersion: number;
  /**
   * Shares of the upstreams that the entry follows, as this replica last sent them;
   * absent from older releases, which follow all.
   */
  readonly followed?: FollowedShares | undefined;
  /** Whether the entry accepts changes of lists; absent from older releases. */
  readonly takesChanges?: true;
  /**
   * Revision of this feed up to which the entry has the others' loads; absent
   * if it has none of this feed.
   */
  readonly loadsSince?: number | undefined;
  /**
   * Whether `spent`, `readWork` and `usage` leave out what is unchanged since a
   * report that this replica acknowledged.
   */
  readonly isPartial?: boolean;
  /** Sum of all charges, compared with the replica's copy. */
  readonly digest?: number;
  /** Tokens charged since the start of the process, by quota bucket. */
  readonly spent: Readonly<Record<string, number>>;
  /** Charges of entries that don't report to this replica, by name. */
  readonly relayedCharges?: Readonly<Record<string, RelayedChargeReport>>;
  /**
   * Entries that don't report to another replica, whose charges are requested.
   */
  readonly wantedCharges?: readonly string[];
  /**
   * Prefill time, on the reference engine, of all prompts forwarded since the
   * start of the process, by service, in ms.
   */
  readonly readWork: Readonly<Record<string, Milliseconds>>;
  /** Measured prefill time relative to the reference engine, by service. */
  readonly readingSpeeds: Readonly<Record<string, number>>;
  /** Requests in flight, by upstream; absent in short exchanges. */
  readonly loads: Readonly<Record<string, UpstreamLoad>> | undefined;
  /**
   * Demand at the entry, by service that is short; absent if none is, in short
   * exchanges, and from older releases.
   */
  readonly demand?: DemandReport | undefined;
  /**
   * Requests that ran on upstreams that crashed, as far as they weren't
   * reported to this replica yet; absent if there are none.
   */
  readonly suspects?: readonly ReportedSuspect[] | undefined;
  /**
   * Rate limits of upstreams, as far as they weren't reported to this replica
   * yet; absent if there are none.
   */
  readonly rateLimits?: readonly RateLimit[] | undefined;
  /** Newest change of a rollout that the entry follows; absent without one. */
  readonly rolloutRevision?: number | undefined;
  /** Samples of the services that are being rolled out, with the primary. */
  readonly versions?: readonly VersionReport[] | undefined;
  /** Requests started, by number of the usage window and workspace. */
  readonly usage: Readonly<Record<string, WorkspaceCounts>>;
};
