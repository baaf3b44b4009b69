import type { KnownEntry } from "./known_entry.ts";

/** Entries that opened or closed after a revision. @public */
export type EntryChanges = {
  readonly opened: readonly KnownEntry[];
  /** Names of entries that callers must no longer be sent to. */
  readonly closed: readonly string[];
};
