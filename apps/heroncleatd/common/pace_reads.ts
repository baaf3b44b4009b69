import type { Server } from "node:http";
import type { Socket } from "node:net";
import { PacedRead } from "./paced_read.ts";
import { ReadQueue } from "./read_queue.ts";

/**
 * Makes an HTTP server parse what connections send for a limited time in each
 * turn of the event loop, and of each only while few of its requests are in
 * progress. Otherwise a read of 64 KiB is parsed at once, which takes tens of
 * milliseconds if it holds thousands of chunks or requests, and others wait for
 * all connections that send such.
 */
export function paceReads(
  server: Server,
  { onRefusal = () => {} }: {
    /** Called for each connection that is closed, as too many bytes wait. */
    onRefusal?: () => void;
  } = {},
): void {
  const queue = new ReadQueue(onRefusal);
  const reads = new WeakMap<Socket, PacedRead>();
  server.on("connection", (socket) => {
    reads.set(socket, new PacedRead(socket, queue));
  });
  server.prependListener("request", (incoming, response) => {
    const read = reads.get(incoming.socket);
    read?.recordRequest(incoming);
    response.once("close", () => read?.recordResponse());
  });
}
