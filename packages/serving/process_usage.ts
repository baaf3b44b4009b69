import type { WorkspaceCounts } from "./workspace_counts.ts";

/** Requests counted, by process, number of the usage window and workspace. */
export type ProcessUsage = Readonly<
  Record<string, Readonly<Record<string, WorkspaceCounts>>>
>;
