import net from "node:net";
import { PeerPool, PeerServer } from "./mod.ts";

const ADDRESS = "127.0.0.1:26038";

// Guards against a process that errors of accepting connections end.
test("errors of accepting connections are reported, and others are served", async () => {
  const create = jest.spyOn(net, "createServer");
  const problems: string[] = [];
  const server = new PeerServer({
    address: ADDRESS,
    secret: "",
    onProblem: (message) => problems.push(message),
  });
  const listener = create.mock.results[0]!.value as net.Server;
  create.mockRestore();
  server.serve({ echo: (parameters) => parameters });
  await server.listen();
  for (let index = 0; index < 20; index += 1) {
    listener.emit("error", new Error("accept EMFILE"));
  }
  expect(problems.length).toBeGreaterThan(0);
  expect(problems.length).toBeLessThan(10);
  const pool = new PeerPool({ secret: "", connectTimeout: 500, localHost: "" });
  const options = { parameters: { n: 1 }, timeout: 2000 };
  expect(await pool.call(ADDRESS, "echo", options)).toEqual({ n: 1 });
  pool.close();
  await server.close();
});

test("an address in use rejects", async () => {
  const create = () =>
    new PeerServer({ address: ADDRESS, secret: "", onProblem: () => {} });
  const first = create();
  await first.listen();
  await expect(create().listen()).rejects.toThrow("EADDRINUSE");
  await first.close();
});
