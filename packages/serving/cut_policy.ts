/** What entries do that reach no upstream. */
export type CutPolicy = {
  /** They pass requests on to other entries. */
  readonly relays: boolean;
  /** They aren't listed for callers, unless none would be left. */
  readonly isUnlisted: boolean;
  /** Which entries they ask last, and which first. */
  readonly remembers: "unable" | "doubted" | "doubted_and_proven";
  /** Entries that are asked for one request, at most. */
  readonly maxEntries: number;
};
