import { once } from "node:events";
import { createServer } from "node:http";
import { type AddressInfo, connect } from "node:net";
import { setTimeout as pause } from "node:timers/promises";
import { createSystemClock } from "@heroncleat/base";
import { serveInTurn } from "./serve_in_turn.ts";

/** Longer than a request that is handled by mistake takes to begin. */
const SETTLE_MS = 100;

// Guards against requests that run although nobody can get their responses.
test("requests behind a response that ends its connection aren't handled", async () => {
  const handled: string[] = [];
  const server = createServer(serveInTurn((incoming, response) => {
    handled.push(incoming.url!);
    response.shouldKeepAlive = false;
    // The second request has arrived by then.
    setTimeout(() => response.end("done"), SETTLE_MS);
  }, { clock: createSystemClock() }));
  await new Promise<void>((resolve) => server.listen(0, "127.0.0.1", resolve));
  const { port } = server.address() as AddressInfo;
  const caller = connect(port, "127.0.0.1");
  caller.write("GET /first HTTP/1.1\r\nHost: a\r\n\r\n");
  caller.write("GET /second HTTP/1.1\r\nHost: a\r\n\r\n");
  caller.resume();
  caller.on("error", () => {});
  await once(caller, "close");
  await pause(SETTLE_MS);
  server.close();
  expect(handled).toEqual(["/first"]);
});
