import { createServer, get } from "node:http";
import { type AddressInfo, connect } from "node:net";
import { idleConnectionLimit } from "@heroncleat/serving";
import { UpstreamAgents } from "./upstream_agents.ts";

const ENTRY_COUNT = 12;
const MAX_CONNECTIONS = 60;
/** Requests that one entry sends at once. */
const BURST = 12;

/** @returns How many of the requests of all entries, each in turn, failed. */
async function sendBursts(
  maxIdleOf: (entry: string) => number,
): Promise<number> {
  const server = createServer((_, response) => {
    setTimeout(() => response.end("ok"), 10);
  });
  server.maxConnections = MAX_CONNECTIONS;
  server.keepAliveTimeout = 10_000;
  await new Promise<void>((resolve) =>
    server.listen(0, "127.0.0.1", () => resolve())
  );
  const { port } = server.address() as AddressInfo;
  const entries = Array.from({ length: ENTRY_COUNT }, (_, index) => {
    const agents = new UpstreamAgents(() => maxIdleOf(`e${index}`), connect);
    return { agents, agent: agents.get("u") };
  });
  const send = (agent: ReturnType<UpstreamAgents["get"]>) =>
    new Promise<number>((resolve) => {
      get({ port, host: "127.0.0.1", agent }, (response) => {
        response.resume().on("end", () => resolve(0));
      }).on("error", () => resolve(1));
    });
  let failed = 0;
  for (const { agent } of entries) {
    const results = await Promise.all(
      Array.from({ length: BURST }, () => send(agent)),
    );
    failed += results.reduce((sum, each) => sum + each, 0);
    // Sockets are returned to the agent after the response has ended.
    await new Promise((resolve) => setTimeout(resolve, 20));
  }
  for (const { agents } of entries) {
    agents.closeAll();
  }
  server.closeAllConnections();
  await new Promise((resolve) => server.close(resolve));
  return failed;
}

// Guards against idle connections of some entries that use up those that the
// upstream accepts from all.
test("bursts of all entries stay within the connections of an upstream", async () => {
  const failed = await sendBursts((entry) =>
    idleConnectionLimit({
      maxConnections: MAX_CONNECTIONS,
      entryCount: ENTRY_COUNT,
      entry,
      upstream: "u",
    })
  );
  expect(failed).toBe(0);
});

test("a limit that doesn't know the other entries fails", async () => {
  expect(await sendBursts(() => 16)).toBeGreaterThan(0);
});

// Guards against runs that are cut, and connections that stay, once an instance
// counts as gone.
test("retired connections stay open while in use, and no longer", async () => {
  const server = createServer((_, response) => {
    setTimeout(() => response.end("whole"), 200);
  });
  await new Promise<void>((resolve) =>
    server.listen(0, "127.0.0.1", () => resolve())
  );
  const { port } = server.address() as AddressInfo;
  const agents = new UpstreamAgents(() => 16, connect);
  const send = () =>
    new Promise<string>((resolve) => {
      const agent = agents.get("u");
      get({ port, host: "127.0.0.1", agent }, (response) => {
        response.setEncoding("utf8").on("data", resolve);
      }).on("error", (error) => resolve(error.message));
    });
  const countConnections = () =>
    new Promise<number>((resolve) =>
      server.getConnections((_, count) => resolve(count))
    );
  await Promise.all([send(), send()]);
  await new Promise((resolve) => setTimeout(resolve, 20));
  const running = send();
  expect(agents.retireWhere(() => true)).toEqual(["u"]);
  expect(agents.removeUnused()).toEqual([]);
  await new Promise((resolve) => setTimeout(resolve, 50));
  expect(await countConnections()).toBe(1);
  expect(await running).toBe("whole");
  await new Promise((resolve) => setTimeout(resolve, 50));
  expect(await countConnections()).toBe(0);
  expect(agents.removeUnused()).toEqual(["u"]);
  expect(agents.listRetired()).toEqual([]);
  server.close();
});
