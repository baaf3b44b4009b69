import type { Milliseconds } from "@heroncleat/base";
import type { WorkspaceCounts } from "./workspace_counts.ts";

/** What one process of an entry has counted since its start. @public */
export type EntryCounters = {
  /** Charged tokens by quota bucket. */
  readonly spent: Readonly<Record<string, number>>;
  /** Prefill time of the forwarded prompts, by service. */
  readonly readWork: Readonly<Record<string, Milliseconds>>;
  /** Requests started, by number of the usage window and workspace. */
  readonly usage: Readonly<Record<string, WorkspaceCounts>>;
};
