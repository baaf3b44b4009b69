import type { IncomingMessage } from "node:http";

/** Largest body of an upstream's response that is buffered. */
const MAX_BODY_BYTES = 16 * 1024 * 1024;

/**
 * Reads the body of an upstream's response; undefined unless it is complete.
 */
export async function readResponseBody(
  message: IncomingMessage,
): Promise<Buffer | undefined> {
  const chunks: Buffer[] = [];
  let size = 0;
  try {
    for await (const chunk of message) {
      size += chunk.length;
      if (size > MAX_BODY_BYTES) {
        return undefined;
      }
      chunks.push(chunk as Buffer);
    }
  } catch {
    // The connection broke; the attempt is logged as cut off.
    return undefined;
  }
  return message.complete ? Buffer.concat(chunks) : undefined;
}
