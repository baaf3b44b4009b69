import type { IncomingMessage } from "node:http";

/** A body that was read whole, or why it wasn't. */
export type RequestBody =
  | { readonly kind: "whole"; readonly bytes: Buffer }
  | { readonly kind: "too_large" }
  | { readonly kind: "broken" };

/** Reads a caller's body up to a limit in bytes. */
export function readRequestBody(
  incoming: IncomingMessage,
  limit: number,
): Promise<RequestBody> {
  return new Promise((resolve) => {
    const chunks: Buffer[] = [];
    let size = 0;
    incoming.on("data", (chunk: Buffer) => {
      size += chunk.length;
      if (size > limit) {
        incoming.pause();
        resolve({ kind: "too_large" });
        return;
      }
      chunks.push(chunk);
    });
    incoming.on(
      "end",
      () => resolve({ kind: "whole", bytes: Buffer.concat(chunks) }),
    );
    incoming.on("error", () => resolve({ kind: "broken" }));
    incoming.on("close", () => resolve({ kind: "broken" }));
  });
}
