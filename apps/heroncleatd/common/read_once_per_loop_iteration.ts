import type { Socket } from "node:net";

/** The methods of a socket's handle that start and stop reading. */
type ReadHandle = {
  readStart(): number;
  readStop(): number;
};

/**
 * Limits a socket to one read per iteration of the event loop. Otherwise libuv
 * reports a reset that arrives with the last bytes as an orderly end. Pausing
 * the socket wouldn't stop the next read.
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
