import type { Milliseconds } from "@heroncleat/base";
import type {
  CounterReport,
  FollowedShares,
  KnownEntry,
} from "@heroncleat/serving";

/** The state of the exchanges with one control replica. Times are monotonic. */
export type ControlLink = {
  readonly address: string;
  feed: string;
  revision: number;
  /** Shares of the upstreams whose updates the replica sends to this entry. */
  followed: FollowedShares;
  receivedAt: Milliseconds;
  requestedAt: Milliseconds;
  /** When the exchange of the last reply began; the reply is no older. */
  currentAt: Milliseconds;
  /** Whether the last exchange failed. */
  hasFailed: boolean;
  isLeading: boolean;
  /** Whether any entry has full exchanges with the replica. */
  isPrimary: boolean;
  /** See SyncReply; undefined before the first reply. */
  shortReportTimeout: Milliseconds | undefined;
  listedAt: Milliseconds;
  /** Estimated Unix time minus this process's monotonic time. */
  wallOffset: Milliseconds | undefined;
  /** Entries that the replica lists for callers, by name. */
  readonly entries: Map<string, KnownEntry>;
  /** Number of entries that report to the replica. */
  entryCount: number;
  /** Revision of the last reply that contained the loads of other entries. */
  loadsSince: number;
  /** Own revision up to which the replica was sent suspected requests. */
  suspectsSentRevision: number;
  readonly report: CounterReport;
  /** The exchange in flight. */
  ongoingExchange: Promise<void> | undefined;
  /** Whether another exchange follows as soon as the one in flight ends. */
  isExchangeQueued: boolean;
  isLost: boolean;
};
