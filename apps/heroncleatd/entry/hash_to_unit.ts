import { createHash } from "node:crypto";

const UINT32_RANGE = 2 ** 32;

/** Hashes a text to a number in the interval [0, 1). */
export function hashToUnit(text: string): number {
  return createHash("sha1").update(text).digest().readUInt32BE(0) /
    UINT32_RANGE;
}
