import type { IncomingMessage, Server, ServerResponse } from "node:http";
import type { Duplex } from "node:stream";
import type { Socket } from "node:net";
import { unparsedConnections } from "./unparsed_connections.ts";

/** The caller has closed its connection inside a request. */
const INCOMPLETE_REQUEST = "HPE_INVALID_EOF_STATE";

/** The head of a request, or its body, wasn't parsed in time. */
const REQUEST_TIMEOUT = "ERR_HTTP_REQUEST_TIMEOUT";

/** Status lines for requests that can't be read, by error; others are 400. */
const STATUS_LINES: Readonly<Record<string, string>> = {
  [REQUEST_TIMEOUT]: "408 Request Timeout",
  HPE_CHUNK_EXTENSIONS_OVERFLOW: "413 Payload Too Large",
  HPE_HEADER_OVERFLOW: "431 Request Header Fields Too Large",
};

type Exchange = {
  readonly incoming: IncomingMessage;
  readonly response: ServerResponse;
};

/**
 * Answers bytes that are no request with 400, requests that time out with 408.
 * Responses to requests that were received whole end before the connection.
 *
 * @param onClose Called before a connection is closed because of its caller's
 *     bytes.
 */
export function answerClientErrors(
  server: Server,
  onClose: (socket: Socket, error: NodeJS.ErrnoException) => void,
): void {
  const exchanges = new WeakMap<Duplex, Set<Exchange>>();
  /** Connections that are closed once their responses have ended. */
  const ending = new WeakSet<Duplex>();
  server.prependListener("request", (incoming, response) => {
    const exchange = { incoming, response };
    const ofSocket = exchanges.get(incoming.socket) ?? new Set();
    exchanges.set(incoming.socket, ofSocket.add(exchange));
    response.once("close", () => ofSocket.delete(exchange));
  });
  server.on("clientError", (error: NodeJS.ErrnoException, socket) => {
    // What waits to be parsed has arrived.
    if (
      error.code === REQUEST_TIMEOUT &&
      unparsedConnections.has(socket as Socket)
    ) {
      return;
    }
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
    onClose(socket as Socket, error);
    if (ofSocket.some(({ response }) => response.headersSent)) {
      socket.destroy();
      return;
    }
    const statusLine = STATUS_LINES[error.code ?? ""] ?? "400 Bad Request";
    socket.end(`HTTP/1.1 ${statusLine}\r\nConnection: close\r\n\r\n`);
  });
}

/**
 * Closes a connection once the responses to requests that were received whole
 * have ended. What came behind them is no reason to cut them.
 */
function endAfter(running: readonly Exchange[], socket: Duplex): void {
  let left = running.length;
  const last = running.at(-1)?.response;
  // Node.js drops the responses behind one that closes the connection.
  if (last?.headersSent === false) {
    last.shouldKeepAlive = false;
  }
  for (const { response } of running) {
    response.once("close", () => {
      left -= 1;
      if (left === 0) {
        (socket as Socket).destroySoon();
      }
    });
  }
}
