/** Counts by workspace. @public */
export type WorkspaceCounts = Readonly<Record<string, number>>;
