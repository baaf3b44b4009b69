import type { ServerResponse } from "node:http";
import { type AddressInfo, connect, createServer } from "node:net";
import { setTimeout as pause } from "node:timers/promises";
import { createSystemClock } from "@heroncleat/base";
import { createCallSignal } from "./create_call_signal.ts";
import { InFlightRequests } from "./shutdown/in_flight_requests.ts";

const TIMEOUT_MS = 50;
const clock = createSystemClock();

const closers: (() => void)[] = [];
afterEach(() => {
  for (const close of closers.splice(0)) {
    close();
  }
});

function createSignal(response: Partial<ServerResponse> = {}) {
  const inFlight = new InFlightRequests();
  const created = createCallSignal(
    { once: () => {}, destroyed: false, ...response } as never,
    { deadline: clock.steady() + TIMEOUT_MS, clock, inFlight },
  );
  return { ...created, inFlight };
}

test("a request that has no response at its deadline is given up", async () => {
  const { signal } = createSignal();
  await pause(2 * TIMEOUT_MS);
  expect(signal.reason).toBe("time_up");
});

test("only requests without a response are given up in a shutdown", () => {
  const waiting = createSignal();
  const begun = createSignal({ headersSent: true });
  waiting.inFlight.giveUp();
  begun.inFlight.giveUp();
  expect(waiting.signal.reason).toBe("shutting_down");
  expect(begun.signal.aborted).toBe(false);
  waiting.release();
  begun.release();
});

// Guards against responses that arrive in time and are given up, as a process
// that stood still runs its timers first.
test("a response that arrived while the process stood still isn't given up", async () => {
  const received: (() => void)[] = [];
  const server = createServer((socket) => {
    socket.once("data", () => received.forEach((release) => release()));
  });
  await new Promise<void>((resolve) => server.listen(0, "127.0.0.1", resolve));
  const { port } = server.address() as AddressInfo;
  const upstream = connect(port, "127.0.0.1");
  closers.push(() => {
    upstream.destroy();
    server.close();
  });
  await new Promise((resolve) => upstream.once("connect", resolve));
  await pause(20);
  const { signal, release } = createSignal();
  received.push(release);
  await new Promise((resolve) => setImmediate(resolve));
  upstream.write("response");
  const until = performance.now() + 2 * TIMEOUT_MS;
  while (performance.now() < until) {
    // The process stands still.
  }
  await pause(20);
  expect(signal.aborted).toBe(false);
});
