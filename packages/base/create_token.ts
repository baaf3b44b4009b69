import { randomBytes } from "node:crypto";

const TOKEN_BYTES = 16;
/** Tokens per call of `randomBytes`, whose cost is mostly per call. */
const TOKENS_PER_POOL = 256;

let pool = Buffer.alloc(0);
let usedBytes = 0;

/** Creates an unguessable identifier of 128 random bits, in hex. @public */
export function createToken(): string {
  if (usedBytes + TOKEN_BYTES > pool.length) {
    pool = randomBytes(TOKEN_BYTES * TOKENS_PER_POOL);
    usedBytes = 0;
  }
  const token = pool.toString("hex", usedBytes, usedBytes + TOKEN_BYTES);
  usedBytes += TOKEN_BYTES;
  return token;
}
