import type { KnownEntry, SyncReply } from "@heroncleat/serving";

/**
 * Applies a list of entries, or changes to it, and returns whether the reply
 * contained either.
 */
export function applyEntryList(
  entries: Map<string, KnownEntry>,
  reply: SyncReply,
): boolean {
  const { entryChanges } = reply;
  if (reply.entries !== undefined) {
    entries.clear();
  }
  for (const entry of reply.entries ?? entryChanges?.opened ?? []) {
    entries.set(entry.name, entry);
  }
  for (const name of entryChanges?.closed ?? []) {
    entries.delete(name);
  }
  return reply.entries !== undefined || entryChanges !== undefined;
}
