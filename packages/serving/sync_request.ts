import type { Milliseconds } from "@heroncleat/base";
import type { ReportedSuspect } from "./reported_suspect.ts";
import type { RelayedChargeReport } from "./relayed_charge_report.ts";
import type { UpstreamLoad } from "./upstream_load.ts";
import type { WorkspaceCounts } from "./workspace_counts.ts";

/** What an entry reports a control replica, several times a second. @public */
export type SyncRequest = {
  readonly entry: {
    readonly name: string;
    /** New with each start of the process. */
    readonly boot: string;
    /** host:port that callers use. */
    readonly address: string;
    readonly zone: string;
    readonly region: string;
    /** Whether callers may be sent to it. */
    readonly isOpen: boolean;
  };
  /** The entry's wall clock since 1970. */
  readonly wall: Milliseconds;
  /** The feed that the entry follows, and how far it has read it. */
  readonly feed: string;
  readonly revision: number;
  /** Version of the document in force at the entry; -1 for none. */
  readonly documentVersion: number;
  /** Whether lists may come as changes; absent from older releases. */
  readonly takesChanges?: true;
  /**
   * Revision of this feed up to which the entry knows the others' loads; absent
   * where it knows none of this feed.
   */
  readonly loadsSince?: number | undefined;
  /**
   * Whether charges, work and usage that didn't change since a report that this
   * replica acknowledged are left out.
   */
  readonly isPartial?: boolean;
  /** Sum of everything charged, to check the replica's copy against. */
  readonly digest?: number;
  /** Everything charged since the start of the process, by workspace. */
  readonly spent: Readonly<Record<string, number>>;
  /** Charges of entries that don't report to this replica, by name. */
  readonly relayedCharges?: Readonly<Record<string, RelayedChargeReport>>;
  /** Entries that don't report to another replica. */
  readonly wantedCharges?: readonly string[];
  /**
   * Time in which the reference engine reads all prompts sent since the start,
   * by service, in ms.
   */
  readonly readWork: Readonly<Record<string, Milliseconds>>;
  /** Time to read a prompt by service, as it measured it; 1 is a reference. */
  readonly readingSpeeds: Readonly<Record<string, number>>;
  /** What it has under way; absent in short exchanges. */
  readonly loads: Readonly<Record<string, UpstreamLoad>> | undefined;
  /**
   * Requests under which upstreams ended, as far as this replica wasn't told
   * of them; absent where there are none.
   */
  readonly suspects?: readonly ReportedSuspect[] | undefined;
  /** Requests begun, by number of the usage window and workspace. */
  readonly usage: Readonly<Record<string, WorkspaceCounts>>;
};
