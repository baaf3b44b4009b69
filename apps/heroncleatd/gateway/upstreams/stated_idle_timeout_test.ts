import { once } from "node:events";
import { createServer, get, type IncomingMessage } from "node:http";
import { type AddressInfo, connect } from "node:net";
import { UpstreamAgent } from "./upstream_agent.ts";

// Guards against an upstream that ends each entry it answers.
test.each([
  ["beyond the largest number", "9".repeat(400)],
  ["of centuries", "99999999999"],
  ["just beyond the longest timer", "2147484"],
  ["of no time", "0"],
  ["of no time in two digits", "00"],
])(
  "an idle timeout %s that an upstream states ends no process",
  async (_, seconds) => {
    const server = createServer((_incoming, response) => {
      response.setHeader("Keep-Alive", `timeout=${seconds}`);
      response.end("ready");
    });
    await new Promise<void>((resolve) => server.listen(0, resolve));
    const { port } = server.address() as AddressInfo;
    const agent = new UpstreamAgent(() => 1, connect);
    let fail = (_error: Error) => {};
    const failed = new Promise<never>((_resolve, reject) => fail = reject);
    process.once("uncaughtException", fail);
    for (let index = 0; index < 2; index += 1) {
      const request = get({ port, agent });
      const [response] = await once(request, "response") as [IncomingMessage];
      response.resume();
      await Promise.race([failed, once(response, "close")]);
      await new Promise((resolve) => setTimeout(resolve, 10));
    }
    process.off("uncaughtException", fail);
    expect(agent.hasFreeSocket).toBe(true);
    // 0 would keep idle connections for good.
    const [idle] = Object.values(agent.freeSockets).flat();
    expect(idle?.timeout).toBeGreaterThan(0);
    agent.destroy();
    server.close();
  },
);
