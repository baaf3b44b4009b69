import type { Server } from "node:http";
import type { Socket } from "node:net";
import { PacedRead } from "./paced_read.ts";
import type { ReadOutcome } from "./read_outcome.ts";
import { ReadQueue } from "./read_queue.ts";

/**
 * Limits the time for which an HTTP server parses in each turn of the event loop.
 * A read of 64 KiB that holds thousands of chunks or requests would take tens of
 * milliseconds, and others would wait.
 */
export function paceReads(
  server: Server,
  { onRefusal = () => {}, maxWaitingBytes }: {
    /**
     * Called for each connection of which nothing more is read, as too many
     * bytes wait.
     */
    onRefusal?: (outcome: ReadOutcome) => void;
    /** Returns how many bytes may wait, at all connections; undefined: 64 MiB. */
    maxWaitingBytes?: (() => number | undefined) | undefined;
  } = {},
): void {
  const queue = new ReadQueue({ onRefusal, maxBytes: maxWaitingBytes });
  const reads = new Map<Socket, PacedRead>();
  server.on("connection", (socket) => {
    reads.set(socket, new PacedRead(socket, queue));
    socket.once("close", () => reads.delete(socket));
  });
  server.prependListener("request", (incoming, response) => {
    const read = reads.get(incoming.socket);
    read?.recordRequest(incoming);
    response.once("close", () => read?.recordResponse());
  });
  const closeIdle = server.closeIdleConnections.bind(server);
  // Node.js calls this when the server is closed as well.
  server.closeIdleConnections = () => {
    for (const read of reads.values()) {
      read.beginRequest();
    }
    closeIdle();
  };
}
