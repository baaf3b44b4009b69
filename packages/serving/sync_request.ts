import type { Milliseconds } from "@heroncleat/base";
import type { PartPlacement } from "./part_placement.ts";
import type { UpstreamLoad } from "./upstream_load.ts";
import type { WorkspaceCounts } from "./usage_counts.ts";

/** What an entry tells a control replica, several times a second. @public */
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
  /** Everything charged since the start of the process, by workspace. */
  readonly spent: Readonly<Record<string, number>>;
  readonly loads: Readonly<Record<string, UpstreamLoad>>;
  /** Shared prompt parts sent lately; the same may come several times. */
  readonly placements: readonly PartPlacement[];
  /** Requests begun, by number of the usage window and workspace. */
  readonly usage: Readonly<Record<string, WorkspaceCounts>>;
};
