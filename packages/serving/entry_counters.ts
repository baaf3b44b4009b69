import type { Milliseconds } from "@heroncleat/base";
import type { WorkspaceCounts } from "./workspace_counts.ts";

/** What one process of an entry counted since its start. @public */
export type EntryCounters = {
  /** Charges by quota bucket. */
  readonly spent: Readonly<Record<string, number>>;
  /** Reading time of the prompts sent, by service. */
  readonly readWork: Readonly<Record<string, Milliseconds>>;
  /** Requests begun, by number of the usage window and workspace. */
  readonly usage: Readonly<Record<string, WorkspaceCounts>>;
};
