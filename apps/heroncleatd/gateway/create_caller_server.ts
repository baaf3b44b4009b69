import { createServer, type RequestListener, type Server } from "node:http";
import { answerClientErrors } from "../common/answer_client_errors.ts";
import { limitConnections } from "../common/limit_connections.ts";
import { paceReads } from "../common/pace_reads.ts";
import { connectionEnds } from "./responses/connection_ends.ts";
import { EndedBy } from "./responses/ended_by.ts";

/**
 * Upper limit for request heads, whatever the configuration document allows.
 */
const MAX_HEADER_BYTES = 64 * 1024;
/** Idle time after which a caller's connection is closed. */
const IDLE_TIMEOUT_MS = 15_000;
const HEADERS_TIMEOUT_MS = 3000;

/**
 * Creates the server for callers without listening yet. The timeouts apply
 * until a configuration document sets others.
 */
export function createCallerServer(
  onRequest: RequestListener,
  options: {
    connections?: Parameters<typeof limitConnections>[1];
    /** Returns how many bytes may wait to be parsed; undefined: 64 MiB. */
    maxWaitingBytes?: () => number | undefined;
  } = {},
): Server {
  const server = createServer({
    maxHeaderSize: MAX_HEADER_BYTES,
    keepAliveTimeout: IDLE_TIMEOUT_MS,
    headersTimeout: HEADERS_TIMEOUT_MS,
    requestTimeout: 0,
    noDelay: true,
  }, onRequest);
  const { connections, maxWaitingBytes } = options;
  paceReads(server, {
    maxWaitingBytes,
    onRefusal: (outcome) =>
      connections?.metrics.increment(
        `connections.${outcome}.${connections.name}`,
      ),
  });
  if (connections !== undefined) {
    limitConnections(server, connections);
  }
  answerClientErrors(
    server,
    (socket) => connectionEnds.record(socket, EndedBy.callerServer),
  );
  server.on("connection", (socket) => {
    // Before Node's listener, which closes the connection.
    socket.prependListener(
      "timeout",
      () => connectionEnds.record(socket, EndedBy.callerServer),
    );
  });
  return server;
}
