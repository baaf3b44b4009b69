import type { IncomingMessage } from "node:http";
import { byteLimits } from "./byte_limits.ts";
import { EndlessBytes } from "./endless_bytes.ts";
import { EndlessShape } from "./endless_shape.ts";

/**
 * Reads a body that is no longer needed, so that the connection can be used
 * again. A long or slow body closes the connection.
 */
export function discardBody(message: IncomingMessage): void {
  let bytes = 0;
  const closeAt = (shape: EndlessShape, limit: number) => {
    if (!message.destroyed) {
      message.destroy(new EndlessBytes({ shape, bytes, limit }));
    }
  };
  message.on("data", (chunk: Buffer) => {
    bytes += chunk.length;
    if (bytes > byteLimits.discarded) {
      closeAt(EndlessShape.discardedBody, byteLimits.discarded);
    }
  });
  const timer = setTimeout(
    () => closeAt(EndlessShape.slowDiscardedBody, byteLimits.discardTime),
    byteLimits.discardTime,
  );
  const stop = () => clearTimeout(timer);
  message.once("end", stop);
  message.once("close", stop);
  message.resume();
}
