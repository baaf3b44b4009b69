import type { IncomingMessage, ServerResponse } from "node:http";
import { listEntries } from "@heroncleat/membership";
import { sendJson } from "../common/send_json.ts";
import type { EntryParts } from "./entry_parts.ts";

const MS_PER_SECOND = 1000;
const MAX_ENTRIES = 12;

/**
 * Returns the entries a caller may use and how long it may cache the list. It
 * needs no key, since an address alone grants no access.
 */
export function handleDiscovery(
  parts: EntryParts,
  request: IncomingMessage,
  response: ServerResponse,
): void {
  const url = new URL(request.url ?? "/", "http://entry");
  const zone = url.searchParams.get("zone") ?? parts.context.zone;
  const entries = listEntries(parts.members(), {
    zone,
    maxEntries: MAX_ENTRIES,
    random: Math.random,
  });
  const lifetime = parts.context.entry.discovery_lifetime;
  response.setHeader(
    "cache-control",
    `max-age=${Math.floor(lifetime / MS_PER_SECOND)}`,
  );
  sendJson(response, 200, { entries, lifetime });
}
