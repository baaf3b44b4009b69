import type { Server } from "node:http";
import type { Clock, Milliseconds } from "@heroncleat/base";

/** Limit for a process that is too slow for what arrives. */
const MAX_TIME: Milliseconds = 250;
/** Iterations of the event loop that read what was accepted before. */
const READING_ITERATIONS = 2;

/**
 * Lets the event loop accept and read what has arrived at servers. Otherwise
 * closing one resets requests that nobody has read: after a pause of the process
 * its timers run first, and each iteration accepts one connection.
 */
export async function readArrived(
  servers: readonly Server[],
  clock: Pick<Clock, "steady">,
): Promise<void> {
  const until = clock.steady() + MAX_TIME;
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
