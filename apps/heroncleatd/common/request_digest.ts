import { createHash } from "node:crypto";

/** Parts of a request that stay the same when its caller repeats it. */
type StableParts = {
  readonly method: string;
  readonly host: string;
  /** Path and query. */
  readonly target: string;
  /** Name of the caller's workspace; empty if there is none. */
  readonly workspace: string;
  readonly body: Buffer;
};

const DIGEST_HEX_DIGITS = 32;

/**
 * Computes a digest that is the same for repetitions of a request. Headers are
 * excluded, as some differ between attempts. Each part is prefixed with its
 * length, so that adjacent parts can't be confused.
 */
export function requestDigest(parts: StableParts): string {
  const { method, host, target, workspace, body } = parts;
  const hash = createHash("sha256");
  for (const part of [method, host.toLowerCase(), target, workspace]) {
    hash.update(`${Buffer.byteLength(part)}:${part}`);
  }
  return hash.update(body).digest("hex").slice(0, DIGEST_HEX_DIGITS);
}
