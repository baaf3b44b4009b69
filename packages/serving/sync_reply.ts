import type { Milliseconds } from "@heroncleat/base";
import type { KnownEntry } from "./known_entry.ts";
import type { EntryChanges } from "./entry_changes.ts";
import type { ReportedSuspect } from "./reported_suspect.ts";
import type { RelayedChargeReport } from "./relayed_charge_report.ts";
import type { SharedState } from "./shared_state.ts";
import type { UpstreamRecord } from "./upstream_record.ts";

/** What a control replica answers an entry. @public */
export type SyncReply = {
  /** New with each start of the control process. */
  readonly feed: string;
  readonly revision: number;
  /** Whether the replica leads the group. */
  readonly isLeading: boolean;
  /** Upstreams that changed since the revision the entry named. */
  readonly upstreams: readonly UpstreamRecord[];
  /** See UpstreamChanges; of `upstreams` and of `shared.beats`. */
  readonly ages?: Readonly<Record<string, Milliseconds>>;
  /**
   * The newest document, packed, where it is confirmed and the entry's is
   * older; see packed_document.ts.
   */
  readonly document: string | undefined;
  /**
   * Entries open to callers, if the list changed since the revision; whole for
   * an entry that follows no list yet or takes no changes.
   */
  readonly entries: readonly KnownEntry[] | undefined;
  /** What changed of that list since the revision. */
  readonly entryChanges?: EntryChanges | undefined;
  /** Entries that report to the replica, those that aren't open too. */
  readonly entryCount?: number;
  /** host:port of the control replicas. */
  readonly controls: readonly string[];
  /** Median of the wall clocks of all entries, since 1970. */
  readonly wall: Milliseconds;
  /**
   * What the other entries charged since this process known of them; only what
   * changed since the revision for an entry that takes changes.
   */
  readonly spentByOthers: Readonly<Record<string, number>>;
  /** Entries that the replica knows of and that are silent to it. */
  readonly unheard?: readonly string[];
  /** What the wanted ones of them reported to it. */
  readonly charges?: Readonly<Record<string, RelayedChargeReport>>;
  /** Whether the replica takes reports of what changed alone. */
  readonly takesPartial?: true;
  /** Whether the report couldn't be taken and a whole one is needed. */
  readonly needsWhole?: true | undefined;
  /**
   * Requests under which upstreams ended, as far as that changed since the
   * revision; absent where nothing did.
   */
  readonly suspects?: readonly ReportedSuspect[] | undefined;
  /** What entries share; present in replies of the primary. */
  readonly shared: SharedState | undefined;
};
