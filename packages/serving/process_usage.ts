import type { WorkspaceCounts } from "./workspace_counts.ts";

/** What processes counted, by process, number of the window and workspace. */
export type ProcessUsage = Readonly<
  Record<string, Readonly<Record<string, WorkspaceCounts>>>
>;
