import type { IncomingMessage } from "node:http";

/** A complete body, or the reason why it couldn't be read. */
export type RequestBody =
  | { readonly kind: "complete"; readonly bytes: Buffer }
  | { readonly kind: "too_large" }
  | { readonly kind: "broken" };

/** Reads the body of a caller's request, up to a limit in bytes. */
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
      () => resolve({ kind: "complete", bytes: Buffer.concat(chunks) }),
    );
    incoming.on("error", () => resolve({ kind: "broken" }));
    incoming.on("close", () => resolve({ kind: "broken" }));
  });
}
