import type { Server } from "node:http";
import type { Clock, Milliseconds } from "@heroncleat/base";

/** Iterations of the event loop that read what was accepted before. */
const READING_ITERATIONS = 2;

/**
 * Lets the event loop accept and read what has arrived at servers. After a pause
 * of the process timers run first, and each iteration accepts one connection.
 *
 * @param options.timeLimit For a process that is too slow for what arrives.
 */
export async function readArrived(
  servers: readonly Server[],
  { clock, timeLimit }: {
    clock: Pick<Clock, "steady">;
    timeLimit: Milliseconds;
  },
): Promise<void> {
  const until = clock.steady() + timeLimit;
  let iterationsLeft = READING_ITERATIONS;
  const onConnection = () => iterationsLeft = READING_ITERATIONS;
  for (const server of servers) {
    server.on("connection", onConnection);
  }
  while (iterationsLeft > 0 && clock.steady() < until) {
    iterationsLeft -= 1;
    await new Promise((resolve) => setImmediate(resolve));
  }
  for (const server of servers) {
    server.off("connection", onConnection);
  }
}
