import type { Socket } from "node:net";

/**
 * Describes for logs how a caller's connection ended: `open` if it hasn't, the
 * code of its error, `fin` if the caller closed it, `closed_here` otherwise.
 */
export function describeConnectionEnd(
  socket: Pick<Socket, "destroyed" | "errored" | "readableEnded"> | null,
): string {
  if (socket === null || (!socket.destroyed && !socket.readableEnded)) {
    return "open";
  }
  const error: NodeJS.ErrnoException | null = socket.errored;
  return error?.code ?? (socket.readableEnded ? "fin" : "closed_here");
}
