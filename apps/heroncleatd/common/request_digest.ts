import { createHash } from "node:crypto";

/** What of a request stays the same when its caller sends it again. */
type RepeatedParts = {
  readonly method: string;
  readonly host: string;
  /** Path and query. */
  readonly target: string;
  /** Name of the caller's workspace; empty where there is none. */
  readonly workspace: string;
  readonly body: Buffer;
};

/** Hexadecimal digits of a digest. */
const DIGEST_LENGTH = 32;

/**
 * Identifies a request by what its caller sends again: other headers, such as
 * the identifier of the attempt, differ from one time to the next, and a
 * workspace may hold several keys. Each part comes with its length, so that
 * none runs into the next one.
 */
export function requestDigest(parts: RepeatedParts): string {
  const { method, host, target, workspace, body } = parts;
  const hash = createHash("sha256");
  for (const part of [method, host.toLowerCase(), target, workspace]) {
    hash.update(`${Buffer.byteLength(part)}:${part}`);
  }
  return hash.update(body).digest("hex").slice(0, DIGEST_LENGTH);
}
