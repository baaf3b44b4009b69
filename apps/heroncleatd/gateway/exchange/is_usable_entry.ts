import { headerValue, isConnectableAddress } from "@heroncleat/base";
import type { KnownEntry } from "@heroncleat/serving";

/** As for the reports of entries; see `EntryReport` of the schema. */
const MAX_NAME_CHARACTERS = 200;

/**
 * Whether another entry can be connected to and named in headers and log lines.
 * Replicas of other releases may list entries for which that isn't so.
 */
export function isUsableEntry(entry: KnownEntry | null): boolean {
  const { name, address, zone, region, unreachable = [] } = (entry ??
    {}) as Partial<Record<keyof KnownEntry, unknown>>;
  return isName(name) && name !== "" && isName(zone) && isName(region) &&
    typeof address === "string" && isConnectableAddress(address) &&
    Array.isArray(unreachable);
}

function isName(value: unknown): boolean {
  return typeof value === "string" && value.length <= MAX_NAME_CHARACTERS &&
    headerValue.allows(value);
}
