import { type AddressInfo, connect, createServer, type Socket } from "node:net";
import { setTimeout as pause } from "node:timers/promises";
import { LinkProxy } from "./link_proxy.ts";

const PROXY_PORT = 28_700;
const NEAR = "127.0.0.1";
const FAR = "127.0.0.1";

const closers: (() => void)[] = [];
afterEach(() => closers.splice(0).forEach((close) => close()));

/** Opens a link as the preload script does; the first reply names its address. */
async function openLink(target: string): Promise<Socket> {
  const request = connect(PROXY_PORT, "127.0.0.1");
  request.write(`${NEAR} ${target}\n`);
  const reply = await new Promise<string>((resolve) => {
    request.once("data", (bytes) => resolve(String(bytes).trim()));
  });
  request.destroy();
  return connect(PROXY_PORT, reply);
}

/** Starts a proxy and a server; returns the server's open connections. */
async function startServer(): Promise<{ target: string; open: Set<Socket> }> {
  const proxy = new LinkProxy(PROXY_PORT);
  await proxy.listen();
  const open = new Set<Socket>();
  const server = createServer((socket) => {
    open.add(socket);
    socket.on("error", () => {});
    socket.on("close", () => open.delete(socket));
    closers.push(() => socket.destroy());
  });
  closers.push(() => server.close(), () => proxy.close());
  await new Promise<void>((resolve) => server.listen(0, FAR, resolve));
  const { port } = server.address() as AddressInfo;
  return { target: `${FAR}:${port}`, open };
}

// Guards against links that pile up while processes time out and reconnect.
test("a link that its process gives up is closed, before and after the reply", async () => {
  const { target, open } = await startServer();
  const waiting = connect(PROXY_PORT, "127.0.0.1");
  waiting.end(`${NEAR} ${target}\n`);
  await pause(200);
  expect(open.size).toBe(0);
  const unclaimed = connect(PROXY_PORT, "127.0.0.1");
  unclaimed.write(`${NEAR} ${target}\n`);
  const address = await new Promise<string>((resolve) =>
    unclaimed.once("data", (bytes) => resolve(String(bytes).trim()))
  );
  unclaimed.destroy();
  const claimed = await openLink(target);
  closers.push(() => claimed.destroy());
  await pause(3500);
  expect(open.size).toBe(1);
  const late = connect(PROXY_PORT, address);
  const hasClosed = new Promise((resolve) => late.once("close", resolve));
  late.on("error", () => {});
  late.write("GET / HTTP/1.1\r\n");
  await hasClosed;
});

test("bytes keep their order, and all arrive before a close, when a delay ends", async () => {
  const proxy = new LinkProxy(PROXY_PORT);
  await proxy.listen();
  let received = "";
  const hasEnded: (() => void)[] = [];
  const server = createServer((socket) => {
    closers.push(() => socket.destroy());
    socket.on("data", (bytes) => received += bytes);
    socket.on("end", () => hasEnded.shift()?.());
  });
  closers.push(() => server.close(), () => proxy.close());
  await new Promise<void>((resolve) => server.listen(0, FAR, resolve));
  const { port } = server.address() as AddressInfo;
  for (let round = 0; round < 20; round += 1) {
    received = "";
    const link = await openLink(`${FAR}:${port}`);
    const ended = new Promise<void>((resolve) => hasEnded.push(resolve));
    proxy.delay(NEAR, 10 + round / 7);
    for (const letter of "abcdefgh") {
      link.write(letter);
      await pause(2);
      if (letter === "d") {
        proxy.delay(NEAR, 0);
      }
    }
    link.end();
    await ended;
    expect(received).toBe("abcdefgh");
  }
});
