import {
  createServer,
  type IncomingMessage,
  type RequestListener,
  type Server,
  type ServerResponse,
} from "node:http";
import type { Duplex } from "node:stream";
import type { Socket } from "node:net";
import { connectionEnds } from "./responses/connection_ends.ts";
import { EndedBy } from "./responses/ended_by.ts";

/**
 * Upper limit for request heads, whatever the configuration document allows.
 */
const MAX_HEADER_BYTES = 64 * 1024;
/** Idle time after which a caller's connection is closed. */
const IDLE_TIMEOUT_MS = 15_000;
const HEADERS_TIMEOUT_MS = 3000;
/** The caller has closed its connection inside a request. */
const INCOMPLETE_REQUEST = "HPE_INVALID_EOF_STATE";

type Exchange = {
  readonly incoming: IncomingMessage;
  readonly response: ServerResponse;
};

/**
 * Creates the server for callers without listening yet. The timeouts apply
 * until a configuration document sets others.
 */
export function createCallerServer(onRequest: RequestListener): Server {
  const exchanges = new WeakMap<Duplex, Set<Exchange>>();
  /** Connections that are closed once their responses have ended. */
  const ending = new WeakSet<Duplex>();
  const server = createServer({
    maxHeaderSize: MAX_HEADER_BYTES,
    keepAliveTimeout: IDLE_TIMEOUT_MS,
    headersTimeout: HEADERS_TIMEOUT_MS,
    requestTimeout: 0,
    noDelay: true,
  }, (incoming, response) => {
    const exchange = { incoming, response };
    const ofSocket = exchanges.get(incoming.socket) ?? new Set();
    exchanges.set(incoming.socket, ofSocket.add(exchange));
    response.once("close", () => ofSocket.delete(exchange));
    onRequest(incoming, response);
  });
  server.on("clientError", (error: NodeJS.ErrnoException, socket) => {
    const ofSocket = [...exchanges.get(socket) ?? []];
    const hasLeft = !socket.writable ||
      (error.code === INCOMPLETE_REQUEST && ofSocket.length > 0);
    if (hasLeft) {
      socket.destroy();
      return;
    }
    const running = ofSocket.filter(({ incoming }) => incoming.complete);
    if (ending.has(socket)) {
      return;
    }
    if (running.length > 0) {
      ending.add(socket);
      endAfter(running, socket);
      return;
    }
    connectionEnds.record(socket as Socket, EndedBy.callerServer);
    if (ofSocket.some(({ response }) => response.headersSent)) {
      socket.destroy();
      return;
    }
    socket.end("HTTP/1.1 400 Bad Request\r\nConnection: close\r\n\r\n");
  });
  return server;
}

/**
 * Closes a connection once the responses to requests that were received whole
 * have ended. What came behind them is no reason to cut them.
 */
function endAfter(running: readonly Exchange[], socket: Duplex): void {
  let left = running.length;
  for (const { response } of running) {
    if (!response.headersSent) {
      response.shouldKeepAlive = false;
    }
    response.once("close", () => {
      left -= 1;
      if (left === 0) {
        (socket as Socket).destroySoon();
      }
    });
  }
}
