import { listEntries } from "@heroncleat/membership";
import type { EntryParts } from "./entry_parts.ts";

const MOST_ENTRIES = 5;

/** Caller addresses of other entries to try, nearest first. */
export function otherEntries(parts: EntryParts): string[] {
  const { name, zone } = parts.context;
  const others = parts.members().filter((member) => member.name !== name);
  return listEntries(others, {
    zone,
    maxEntries: MOST_ENTRIES,
    random: Math.random,
  })
    .map((entry) => entry.address);
}
