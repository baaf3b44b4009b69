import type { KnownEntry } from "./known_entry.ts";

/** Entries that opened or closed behind a revision. @public */
export type EntryChanges = {
  readonly opened: readonly KnownEntry[];
  /** Names of those that callers may not be sent to any more. */
  readonly closed: readonly string[];
};
