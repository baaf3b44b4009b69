import type { Milliseconds } from "@heroncleat/base";
import type { KnownEntry } from "./known_entry.ts";
import type { PartPlacement } from "./part_placement.ts";
import type { UpstreamLoad } from "./upstream_load.ts";
import type { UpstreamRecord } from "./upstream_record.ts";

/** What a control replica tells an entry. @public */
export type SyncReply = {
  /** New with each start of the control process. */
  readonly feed: string;
  readonly revision: number;
  /** Upstreams that changed since the revision the entry named. */
  readonly upstreams: readonly UpstreamRecord[];
  /** The newest document, where it is confirmed and the entry's is older. */
  readonly document: string | undefined;
  /** Entries heard lately that are open to callers. */
  readonly entries: readonly KnownEntry[];
  /** host:port of the control replicas. */
  readonly controls: readonly string[];
  /** Median of the wall clocks of all entries, since 1970. */
  readonly wall: Milliseconds;
  /** What the other entries charged, by workspace. */
  readonly spentByOthers: Readonly<Record<string, number>>;
  readonly loadsOfOthers: Readonly<Record<string, UpstreamLoad>>;
  /** Shared prompt parts that other entries sent since the revision. */
  readonly placements: readonly PartPlacement[];
  /** Part of all quotas that the entries in reach of this replica may use. */
  readonly quotaShare: number;
};
