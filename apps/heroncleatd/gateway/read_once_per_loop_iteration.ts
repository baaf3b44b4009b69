import type { Socket } from "node:net";

/** The part of a socket's handle that starts and stops reading. */
type ReadHandle = {
  readStart(): number;
  readStop(): number;
};

/**
 * Makes a socket read once in a turn of the event loop, from the read on that
 * is handled now. libuv takes a reset that is there together with the last
 * bytes for an orderly end, unless reading was stopped by then; the read of the
 * next turn meets the reset.
 *
 * Only a body that ends with its connection needs it: of one with a length or
 * in chunks, Node knows that it isn't whole. It takes three more system calls
 * a read.
 *
 * Node offers no public call for it: pausing a flowing socket stops its handle
 * only at the next bytes.
 */
export function readOncePerLoopIteration(socket: Socket): void {
  const pauseUntilNextIteration = () => {
    const handle = handleOf(socket);
    if (handle === null) {
      return;
    }
    handle.readStop();
    setImmediate(() => {
      if (!socket.destroyed && handleOf(socket) === handle) {
        handle.readStart();
      }
    });
  };
  socket.on("data", pauseUntilNextIteration);
  pauseUntilNextIteration();
}

function handleOf(socket: Socket): ReadHandle | null {
  return (socket as unknown as { _handle: ReadHandle | null })._handle;
}
