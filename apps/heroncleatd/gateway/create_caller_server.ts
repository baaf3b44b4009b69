import { createServer, type RequestListener, type Server } from "node:http";

/** Most bytes of a request's head, whatever the document allows. */
const MAX_HEADER_BYTES = 64 * 1024;
/** Callers may use a connection up to this time; then it is closed. */
const IDLE_TIMEOUT_MS = 15_000;
const HEADERS_TIMEOUT_MS = 3000;

/**
 * Creates the server that callers connect to; it listens to nothing yet. The
 * timeouts hold until a document states others.
 */
export function createCallerServer(onRequest: RequestListener): Server {
  const server = createServer({
    maxHeaderSize: MAX_HEADER_BYTES,
    keepAliveTimeout: IDLE_TIMEOUT_MS,
    headersTimeout: HEADERS_TIMEOUT_MS,
    requestTimeout: 0,
    noDelay: true,
  }, onRequest);
  server.on("clientError", (_error, socket) => {
    if (!socket.writable) {
      socket.destroy();
      return;
    }
    socket.end("HTTP/1.1 400 Bad Request\r\nConnection: close\r\n\r\n");
  });
  return server;
}
