import type { Socket } from "node:net";

/** The part of a socket's handle that starts and stops reading. */
type ReadHandle = {
  readStart(): number;
  readStop(): number;
};

const prepared = new WeakSet<Socket>();

/**
 * Makes a socket read once in a turn of the event loop. libuv takes a reset
 * that is there together with the last bytes for an orderly end, unless
 * reading was stopped by then; the read of the next turn meets the reset.
 *
 * Node offers no public call for it: pausing a flowing socket stops its handle
 * only at the next bytes.
 */
export function readInTurns(socket: Socket): void {
  if (prepared.has(socket)) {
    return;
  }
  prepared.add(socket);
  socket.on("data", () => {
    const handle =
      (socket as unknown as { _handle: ReadHandle | null })._handle;
    if (handle === null) {
      return;
    }
    handle.readStop();
    setImmediate(() => {
      const isOpen = !socket.destroyed &&
        (socket as unknown as { _handle: ReadHandle | null })._handle ===
          handle;
      if (isOpen) {
        handle.readStart();
      }
    });
  });
}
