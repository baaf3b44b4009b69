import type { Server } from "node:http";
import type { Clock, Milliseconds } from "@heroncleat/base";

/** After this part of the grace period connections are closed once idle. */
const CLOSE_GRACE_SHARE = 0.75;
const POLL_INTERVAL: Milliseconds = 50;

/** What a planned stop goes by. */
type ShutdownOptions = {
  readonly server: Server;
  readonly clock: Clock;
  readonly gracePeriod: Milliseconds;
  /** Monotonic time at which the process ends. */
  readonly endsAt: Milliseconds;
  /** Requests that have no final answer yet. */
  readonly underWay: () => number;
};

/**
 * Takes requests until most of the grace period is over, as callers receive
 * late that an entry leaves, then closes idle connections and waits for the
 * rest.
 */
export async function shutDownGracefully(
  options: ShutdownOptions,
): Promise<void> {
  const { server, clock, gracePeriod, endsAt, underWay } = options;
  const closeAt = clock.steady() + gracePeriod * CLOSE_GRACE_SHARE;
  while (clock.steady() < endsAt) {
    if (clock.steady() >= closeAt) {
      server.close();
      server.closeIdleConnections();
      if (underWay() === 0) {
        break;
      }
    }
    await new Promise((resolve) => setTimeout(resolve, POLL_INTERVAL));
  }
  server.close();
  server.closeAllConnections();
}
