import type { Server } from "node:http";
import type { Clock, Milliseconds } from "@heroncleat/base";

/** Share of the grace period after which idle connections are closed. */
const CLOSE_GRACE_SHARE = 0.75;
const POLL_INTERVAL: Milliseconds = 50;

type ShutdownOptions = {
  readonly server: Server;
  readonly clock: Clock;
  readonly gracePeriod: Milliseconds;
  /** Monotonic time at which the process exits. */
  readonly endsAt: Milliseconds;
  /** Returns the number of requests in flight. */
  readonly underWay: () => number;
  /** Resets the connections of the responses that were begun. */
  readonly breakOff: () => void;
};

/**
 * Accepts requests for most of the grace period, since callers are slow to
 * notice that an entry shuts down. Then closes idle connections and waits for
 * the requests in flight.
 */
export async function shutDownGracefully(
  options: ShutdownOptions,
): Promise<void> {
  const { server, clock, gracePeriod, endsAt, underWay, breakOff } = options;
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
  breakOff();
  server.close();
  server.closeAllConnections();
}
