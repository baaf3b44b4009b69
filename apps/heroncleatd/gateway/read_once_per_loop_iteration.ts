import type { Socket } from "node:net";

/** The methods of a socket's handle that start and stop reading. */
type ReadHandle = {
  readStart(): number;
  readStop(): number;
};

/**
 * Limits a socket to one read per iteration of the event loop. libuv reports a
 * reset that arrives together with the last bytes as an orderly end, unless
 * reading was stopped before; the read in the next iteration then reports the
 * reset.
 *
 * Only bodies that are delimited by the end of the connection need this. Node
 * detects truncation of bodies with a length or in chunks, and each read takes
 * three more system calls.
 *
 * This uses the internal handle, since pausing a flowing socket only stops
 * reading after the next bytes.
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
