import { createServer, type Server, type ServerResponse } from "node:http";
import { RateLimiter, splitAddress } from "@heroncleat/base";
import type { Log } from "./log.ts";
import type { Metrics } from "./metrics.ts";

const PATH = "/metrics";
const FAILURE_LINES_PER_SECOND = 1;
const FAILURE_LINE_BURST = 5;

type MetricsOptions = {
  readonly render: () => Promise<string>;
  readonly log: Log;
  readonly metrics: Pick<Metrics, "increment">;
};

/**
 * Serves metrics as text over HTTP. A port that is in use is only logged. All
 * that ask while a text is rendered share it.
 */
export function serveMetrics(address: string, options: MetricsOptions): Server {
  const { log } = options;
  const render = shareRendering(options);
  const server = createServer(async (request, response) => {
    if (request.url !== PATH) {
      response.writeHead(404).end();
      return;
    }
    sendText(response, await render());
  });
  server.on("error", (error) => {
    log.warn("Can't serve metrics. Remedy: free the address.", {
      address,
      error: error.message,
    });
  });
  const { host, port } = splitAddress(address);
  server.listen(port, host);
  return server;
}

/** Renders once for all that ask meanwhile; undefined if that fails. */
function shareRendering(
  { render, log, metrics }: MetricsOptions,
): () => Promise<string | undefined> {
  const limiter = new RateLimiter(FAILURE_LINES_PER_SECOND, FAILURE_LINE_BURST);
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

function sendText(response: ServerResponse, text: string | undefined): void {
  if (text === undefined) {
    response.writeHead(500).end();
    return;
  }
  response.writeHead(200, { "Content-Type": "text/plain; version=0.0.4" });
  response.end(text);
}
