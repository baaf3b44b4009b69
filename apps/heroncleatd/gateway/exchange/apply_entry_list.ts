import type { KnownEntry, SyncReply } from "@heroncleat/serving";

/**
 * Applies a list of entries, or changes to it, and returns whether the reply
 * contained either. Entries that can't be used are left out.
 */
export function applyEntryList(
  entries: Map<string, KnownEntry>,
  reply: SyncReply,
  isUsable: (entry: KnownEntry) => boolean,
): boolean {
  const { entryChanges } = reply;
  if (reply.entries !== undefined) {
    entries.clear();
  }
  for (const entry of reply.entries ?? entryChanges?.opened ?? []) {
    if (isUsable(entry)) {
      entries.set(entry.name, entry);
    } else {
      entries.delete(entry?.name);
    }
  }
  for (const name of entryChanges?.closed ?? []) {
    entries.delete(name);
  }
  return reply.entries !== undefined || entryChanges !== undefined;
}
