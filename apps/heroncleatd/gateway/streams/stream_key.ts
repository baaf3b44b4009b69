import { createHash } from "node:crypto";

const KEY_LENGTH = 22;

/**
 * Identifies a stream by the attempt that brought its first event, for entries
 * that hold its origin. Callers choose the identifiers of attempts, of any
 * length; those of different workspaces never meet.
 */
export function streamKey(
  { workspace, attempt }: { workspace: string; attempt: string },
): string {
  return createHash("sha256")
    .update(`${Buffer.byteLength(workspace)}:${workspace}${attempt}`)
    .digest("base64url")
    .slice(0, KEY_LENGTH);
}
