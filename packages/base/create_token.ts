import { randomBytes } from "node:crypto";

const TOKEN_BYTES = 16;
/** Tokens made from one call for random bytes, which is what takes long. */
const TOKENS_IN_POOL = 256;

let pool = Buffer.alloc(0);
let used = 0;

/** Makes an unguessable identifier with 128 random bits, in hex. @public */
export function createToken(): string {
  if (used + TOKEN_BYTES > pool.length) {
    pool = randomBytes(TOKEN_BYTES * TOKENS_IN_POOL);
    used = 0;
  }
  const token = pool.toString("hex", used, used + TOKEN_BYTES);
  used += TOKEN_BYTES;
  return token;
}
