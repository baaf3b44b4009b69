import type { CounterReport } from "@heroncleat/serving";

/** How far an entry has read one replica's feed. */
export type FeedPosition = {
  readonly feed: string;
  readonly revision: number;
  /** Whether everything is exchanged with it, not just counters. */
  readonly isPrimary: boolean;
  /** Revision up to which it sent the loads of the others; 0 for none. */
  readonly loadsSince: number;
  /** Revision up to which it was told which requests upstreams ended under. */
  readonly suspectsSentRevision: number;
  /** What it was sent of this entry's counters. */
  readonly report: CounterReport;
};
