import type { IncomingMessage } from "node:http";

/** Largest body of an upstream's answer that is held in memory, in bytes. */
const MOST_BYTES = 16 * 1024 * 1024;

/**
 * Reads the body of an upstream's answer; nothing unless it arrived whole.
 */
export function readAnswerBody(
  message: IncomingMessage,
): Promise<Buffer | undefined> {
  return new Promise((resolve) => {
    const chunks: Buffer[] = [];
    let size = 0;
    message.on("data", (chunk: Buffer) => {
      size += chunk.length;
      if (size > MOST_BYTES) {
        message.destroy();
        return;
      }
      chunks.push(chunk);
    });
    message.on(
      "end",
      () => resolve(message.complete ? Buffer.concat(chunks) : undefined),
    );
    message.on("error", () => resolve(undefined));
    message.on("close", () => resolve(undefined));
  });
}
