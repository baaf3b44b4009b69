import { EventEmitter } from "node:events";
import { ShutdownSignal } from "./mod.ts";

function createSignal() {
  const source = new EventEmitter();
  const clock = { now: 100 };
  const shutdown = new ShutdownSignal(source, {
    signals: ["SIGTERM", "SIGINT"],
    now: () => clock.now,
  });
  return { source, clock, shutdown };
}

describe("ShutdownSignal", () => {
  test("a signal that nobody waits for yet is remembered with its time", async () => {
    const { source, clock, shutdown } = createSignal();
    expect(shutdown.isReceived).toBe(false);
    source.emit("SIGTERM");
    clock.now = 900;
    expect(shutdown.isReceived).toBe(true);
    expect(await shutdown.received).toBe(100);
  });

  test("a later signal doesn't change the time of the first one", async () => {
    const { source, clock, shutdown } = createSignal();
    const { received } = shutdown;
    source.emit("SIGINT");
    clock.now = 500;
    source.emit("SIGTERM");
    source.emit("SIGINT");
    expect(await received).toBe(100);
  });

  test("other signals don't ask for a shutdown", () => {
    const { source, shutdown } = createSignal();
    source.emit("SIGHUP");
    expect(shutdown.isReceived).toBe(false);
  });
});
