import { createHash } from "node:crypto";

const RANGE = 2 ** 32;

/** Hashes a text to a number from 0 up to, but not including, 1. */
export function hashToUnit(text: string): number {
  return createHash("sha1").update(text).digest().readUInt32BE(0) / RANGE;
}
