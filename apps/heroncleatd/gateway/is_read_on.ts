import type { RequestBody } from "./read_request_body.ts";

/**
 * Whether the rest of a body that was refused is read, so that its caller keeps
 * the connection: not of one that is outside the limits, or late.
 */
export function isReadOn(
  { kind }: Exclude<RequestBody, { kind: "complete" | "broken" }>,
): boolean {
  switch (kind) {
    case "no_room":
    case "leaving":
      return true;
    case "too_large":
    case "fragmented":
    case "late":
      return false;
  }
}
