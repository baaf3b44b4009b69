import type { Server } from "node:http";
import type { Socket } from "node:net";

/** Requests of one connection that are handled at once. */
const MAX_IN_PROGRESS = 8;

type Connection = {
  inProgress: number;
  /** Reads on, if that was put off. */
  readOn: () => void;
};

/**
 * Stops reading from a connection that has many requests in progress. Node.js
 * counts the bytes of responses that wait to be sent, not the requests whose
 * responses don't exist yet. Must be called behind paceReads.
 */
export function limitPipelining(server: Server): void {
  const connections = new WeakMap<Socket, Connection>();
  server.on(
    "connection",
    (socket) => connections.set(socket, watchReads(socket)),
  );
  server.prependListener("request", ({ socket }, response) => {
    const connection = connections.get(socket);
    if (connection === undefined) {
      return;
    }
    connection.inProgress += 1;
    response.once("close", () => {
      connection.inProgress -= 1;
      connection.readOn();
    });
  });
}

function watchReads(socket: Socket): Connection {
  const push = socket.push.bind(socket);
  const read = socket._read.bind(socket);
  let wantedBytes: number | undefined;
  const connection: Connection = {
    inProgress: 0,
    readOn: () => {
      const bytes = wantedBytes;
      if (bytes !== undefined && mayRead() && !socket.destroyed) {
        wantedBytes = undefined;
        read(bytes);
      }
    },
  };
  const mayRead = () => connection.inProgress < MAX_IN_PROGRESS;
  socket.push = (bytes: Buffer | null): boolean => push(bytes) && mayRead();
  socket._read = (bytes) => {
    if (mayRead()) {
      read(bytes);
    } else {
      wantedBytes = bytes;
    }
  };
  return connection;
}
