import type { Milliseconds } from "@heroncleat/base";
import type { CounterReport, KnownEntry } from "@heroncleat/serving";

/** One control replica as this process knows it. */
export type ControlLink = {
  readonly address: string;
  feed: string;
  revision: number;
  receivedAt: Milliseconds;
  requestedAt: Milliseconds;
  /** Whether the last exchange came to nothing. */
  hasFailed: boolean;
  isLeading: boolean;
  listedAt: Milliseconds;
  /** True time since 1970 less this process's monotonic time. */
  wallOffset: Milliseconds | undefined;
  /** Entries that it names to callers, by name. */
  readonly entries: Map<string, KnownEntry>;
  /** Entries that report to it. */
  entryCount: number;
  /** Revision of the last reply with the loads of the others. */
  loadsSince: number;
  /** Own revision up to which it was told of suspected requests. */
  suspectsSentRevision: number;
  readonly report: CounterReport;
  /** The exchange that is under way. */
  ongoingExchange: Promise<void> | undefined;
  /** Whether another one follows it at once. */
  isExchangeQueued: boolean;
  isLost: boolean;
};
