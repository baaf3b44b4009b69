import { randomBytes } from "node:crypto";

const TOKEN_BYTES = 16;

/** Makes an unguessable identifier with 128 random bits, in hex. @public */
export function createToken(): string {
  return randomBytes(TOKEN_BYTES).toString("hex");
}
