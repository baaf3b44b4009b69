import type { Server } from "node:http";
import type { Socket } from "node:net";

/** Bytes of one connection that are parsed in one turn of the event loop. */
const SLICE_BYTES = 4 * 1024;
/** Bytes that wait for their turn, at all connections of a server. */
const MAX_WAITING_BYTES = 32 * 1024 * 1024;

type WaitingBytes = { total: number };

/**
 * Makes an HTTP server parse what a connection sends in parts, one in each turn
 * of the event loop. Otherwise a read of 64 KiB is parsed at once, which takes
 * tens of milliseconds if it holds thousands of chunks or requests, and others
 * wait for all connections that send such.
 */
export function paceReads(server: Server): void {
  const waiting: WaitingBytes = { total: 0 };
  server.on("connection", (socket) => paceSocket(socket, waiting));
}

function paceSocket(socket: Socket, waiting: WaitingBytes): void {
  const push = socket.push.bind(socket);
  const read = socket._read.bind(socket);
  let rest: Buffer | undefined;
  let isScheduled = false;
  const setRest = (bytes: Buffer | undefined) => {
    waiting.total += (bytes?.length ?? 0) - (rest?.length ?? 0);
    rest = bytes;
  };
  const pushSlice = (bytes: Buffer): boolean => {
    const isLast = bytes.length <= SLICE_BYTES;
    setRest(isLast ? undefined : bytes.subarray(SLICE_BYTES));
    return push(isLast ? bytes : bytes.subarray(0, SLICE_BYTES));
  };
  socket.push = (bytes: Buffer | null): boolean => {
    const mayWait = waiting.total < MAX_WAITING_BYTES;
    if (bytes === null || bytes.length <= SLICE_BYTES || !mayWait) {
      return push(bytes);
    }
    pushSlice(bytes);
    // The next bytes are read once these have been parsed.
    return false;
  };
  socket._read = (size) => {
    if (rest === undefined) {
      read(size);
    } else if (!isScheduled) {
      isScheduled = true;
      setImmediate(() => {
        isScheduled = false;
        if (rest !== undefined) {
          pushSlice(rest);
        }
      });
    }
  };
  socket.once("close", () => setRest(undefined));
  // Without a listener Node's parser reads from the system's handle by itself.
  socket.on("data", () => {});
}
