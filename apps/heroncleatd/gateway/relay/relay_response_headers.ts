import type { CallerRequest } from "../caller_request.ts";
import { relayHeaders } from "./relay_headers.ts";

/**
 * Returns the headers that tell the entry that passed a request on where the
 * response comes from, as alternating names and values; none for a caller.
 *
 * @param source.version Undefined if it isn't known for certain.
 */
export function relayResponseHeaders(
  { relayedBy }: Pick<CallerRequest, "relayedBy">,
  source: {
    readonly upstream: string;
    readonly version?: string | undefined;
  },
): string[] {
  if (relayedBy === undefined) {
    return [];
  }
  const headers = [
    relayHeaders.upstream,
    encodeURIComponent(source.upstream),
  ];
  if (source.version !== undefined) {
    headers.push(relayHeaders.version, encodeURIComponent(source.version));
  }
  return headers;
}
