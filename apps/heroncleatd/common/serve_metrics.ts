import {
  createServer,
  type IncomingMessage,
  type Server,
  type ServerResponse,
} from "node:http";
import type { Socket } from "node:net";
import { listenAt, type Milliseconds, RateLimiter } from "@heroncleat/base";
import { limitConnections } from "./limit_connections.ts";
import type { Log } from "./log.ts";
import type { Metrics } from "./metrics.ts";
import { paceReads } from "./pace_reads.ts";

const PATH = "/metrics";
/** Default limit for a request to arrive, and for its response to be read. */
const EXCHANGE_TIMEOUT: Milliseconds = 10_000;
const TIMEOUT_CHECK_INTERVAL: Milliseconds = 1000;
const DEFAULT_MAX_CONNECTIONS = 64;
const LINES_PER_SECOND = 1;
const LINE_BURST = 5;

type MetricsOptions = {
  readonly render: () => Promise<string>;
  readonly log: Log;
  readonly metrics: Pick<Metrics, "increment">;
  /** Limit of open connections; asked for each new one. */
  readonly maxConnections?: () => number;
  /** Limit for a request to arrive, and for its response to be read. */
  readonly exchangeTimeout?: Milliseconds;
};

/**
 * Serves metrics as text over HTTP. A port that stays in use is only logged. All
 * that ask meanwhile share one rendering. Bodies and pipelined requests close
 * their connection.
 */
export function serveMetrics(address: string, options: MetricsOptions): Server {
  const { log, metrics, maxConnections } = options;
  const { exchangeTimeout = EXCHANGE_TIMEOUT } = options;
  const render = shareRendering(options);
  /** Connections whose response hasn't been sent yet. */
  const busy = new WeakSet<Socket>();
  const answered = new WeakSet<Socket>();
  const limiter = new RateLimiter(LINES_PER_SECOND, LINE_BURST);
  const reportClosing = (reason: string, { remoteAddress }: Socket) => {
    metrics.increment(`metrics_server.closed_${reason}`);
    if (limiter.tryConsume(performance.now())) {
      log.warn("Closes a connection of the metrics server", {
        peer: remoteAddress ?? "",
        reason,
      });
    }
  };
  const server = createServer({
    requestTimeout: exchangeTimeout,
    headersTimeout: exchangeTimeout,
    connectionsCheckingInterval: TIMEOUT_CHECK_INTERVAL,
  }, async (request, response) => {
    const { socket } = request;
    if (busy.has(socket)) {
      reportClosing("pipelined", socket);
      socket.destroy();
      return;
    }
    busy.add(socket);
    response.once("finish", () => {
      busy.delete(socket);
      answered.add(socket);
    });
    if (hasBody(request)) {
      reportClosing("body", socket);
      response.setHeader("Connection", "close");
    }
    if (request.url !== PATH) {
      response.writeHead(404).end();
      return;
    }
    sendText(response, await render());
  });
  server.timeout = exchangeTimeout;
  server.on("timeout", (socket) => {
    // Collectors keep their connections open from one response to the next.
    if (busy.has(socket) || !answered.has(socket)) {
      reportClosing("timeout", socket);
    }
    socket.destroy();
  });
  paceReads(server);
  limitConnections(server, {
    limit: maxConnections ?? (() => DEFAULT_MAX_CONNECTIONS),
    metrics,
    log,
    name: "metrics",
  });
  listenAt(server, address, { onWait: (message) => log.warn(message) }).catch(
    (error: Error) =>
      log.warn("Can't serve metrics. Remedy: free the address.", {
        address,
        error: error.message,
      }),
  );
  return server;
}

/** Renders once for all that ask meanwhile; undefined if that fails. */
function shareRendering(
  { render, log, metrics }: MetricsOptions,
): () => Promise<string | undefined> {
  const limiter = new RateLimiter(LINES_PER_SECOND, LINE_BURST);
  let rendering: Promise<string | undefined> | undefined;
  const renderOrLog = async () => {
    try {
      return await render();
    } catch (error) {
      metrics.increment("metrics_server.failed");
      if (limiter.tryConsume(performance.now())) {
        log.error("Can't render metrics", { error: String(error) });
      }
      return undefined;
    } finally {
      rendering = undefined;
    }
  };
  return () => rendering ??= renderOrLog();
}

function hasBody({ headers }: IncomingMessage): boolean {
  return headers["transfer-encoding"] !== undefined ||
    Number(headers["content-length"] ?? 0) > 0;
}

function sendText(response: ServerResponse, text: string | undefined): void {
  if (text === undefined) {
    response.writeHead(500).end();
    return;
  }
  response.writeHead(200, { "Content-Type": "text/plain; version=0.0.4" });
  response.end(text);
}
