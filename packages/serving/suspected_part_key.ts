import { createHash } from "node:crypto";

/** Identifiers that are shown to operators as they are. */
const PLAIN_IDENTIFIER = /^[\w.-]{1,64}$/;
const DIGEST_HEX_DIGITS = 32;

/**
 * Key under which a part of prompts is suspected, for one service.
 *
 * @public
 */
export function suspectedPartKey(service: string, part: string): string {
  const name = PLAIN_IDENTIFIER.test(part)
    ? part
    : createHash("sha256").update(part).digest("hex").slice(
      0,
      DIGEST_HEX_DIGITS,
    );
  return `part:${name}:${service}`;
}
