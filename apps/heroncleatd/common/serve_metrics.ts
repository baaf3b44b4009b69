import { createServer, type Server } from "node:http";
import { splitAddress } from "@heroncleat/base";
import type { Log } from "./log.ts";

const PATH = "/metrics";

/** Serves metrics as text over HTTP. A port that is in use is only logged. */
export function serveMetrics(
  address: string,
  options: { render: () => Promise<string>; log: Log },
): Server {
  const server = createServer(async (request, response) => {
    if (request.url !== PATH) {
      response.writeHead(404).end();
      return;
    }
    const text = await options.render();
    response.writeHead(200, { "Content-Type": "text/plain; version=0.0.4" });
    response.end(text);
  });
  server.on("error", (error) => {
    options.log.warn("Can't serve metrics. Remedy: free the address.", {
      address,
      error: error.message,
    });
  });
  const { host, port } = splitAddress(address);
  server.listen(port, host);
  return server;
}
