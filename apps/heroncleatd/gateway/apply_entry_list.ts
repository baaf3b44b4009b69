import type { KnownEntry, SyncReply } from "@heroncleat/serving";

/** Takes a list of entries in, or its changes, and says whether any came. */
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
