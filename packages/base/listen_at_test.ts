import { once } from "node:events";
import { type AddressInfo, createServer, type Server } from "node:net";
import { setTimeout as pause } from "node:timers/promises";
import { listenAt } from "./listen_at.ts";

const HOST = "127.0.0.1";
const BUSY_TIME_MS = 300;

let previous: Server;
let next: Server;
let address: string;
let messages: string[];
const onWait = (message: string) => void messages.push(message);

beforeEach(async () => {
  messages = [];
  next = createServer();
  previous = createServer().listen(0, HOST);
  await once(previous, "listening");
  address = `${HOST}:${(previous.address() as AddressInfo).port}`;
});

afterEach(() => {
  previous.close();
  next.close();
});

test("a server waits for an address until its previous process ends", async () => {
  const listening = listenAt(next, address, { onWait });
  await pause(BUSY_TIME_MS);
  expect(next.listening).toBe(false);
  previous.close();
  await listening;
  expect(next.listening).toBe(true);
  expect(next.listenerCount("error")).toBe(0);
  expect(messages).toEqual([expect.stringContaining(`${address} is in use`)]);
});

test("a server doesn't wait for an address that stays in use", async () => {
  const startedAt = performance.now();
  await expect(listenAt(next, address, { onWait })).rejects.toThrow(
    "EADDRINUSE",
  );
  expect(performance.now() - startedAt).toBeGreaterThan(7900);
  expect(performance.now() - startedAt).toBeLessThan(20_000);
  expect(messages).toHaveLength(1);
});

test("a server doesn't wait for an address of another VM", async () => {
  await expect(listenAt(next, "192.0.2.1:80", { onWait })).rejects.toThrow(
    "EADDRNOTAVAIL",
  );
  expect(messages).toEqual([]);
});
