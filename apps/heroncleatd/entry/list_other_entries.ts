import { listEntries } from "@heroncleat/membership";
import type { EntryParts } from "./entry_parts.ts";

const MAX_ENTRIES = 5;

/** Lists caller addresses of other entries, those in the same zone first. */
export function listOtherEntries(parts: EntryParts): string[] {
  const { name, zone } = parts.context;
  const others = parts.members().filter((member) => member.name !== name);
  return listEntries(others, {
    zone,
    maxEntries: MAX_ENTRIES,
    random: Math.random,
  })
    .map((entry) => entry.address);
}
