import type { Server } from "node:http";
import type { Clock, Milliseconds } from "@heroncleat/base";

/** After this part of the grace period no more streams are taken. */
const STREAM_SHARE = 0.36;
/** After this part of the grace period connections are closed once idle. */
const CLOSE_SHARE = 0.75;
const LOOK_INTERVAL: Milliseconds = 50;
/** Time before the end of the grace period at which the process ends. */
const STOP_MARGIN: Milliseconds = 250;

/** What a planned stop goes by. */
type LeaveOptions = {
  readonly server: Server;
  readonly clock: Clock;
  readonly gracePeriod: Milliseconds;
  /** Requests that have no final answer yet. */
  readonly underWay: () => number;
  /** Called when a stream that is taken now couldn't end in time. */
  readonly onTooLateForStreams: () => void;
};

/**
 * Takes requests until most of the grace period is over, as callers receive
 * late that an entry leaves, then closes idle connections and waits for the
 * rest.
 */
export async function leaveGracefully(options: LeaveOptions): Promise<void> {
  const { server, clock, gracePeriod, underWay } = options;
  const startedAt = clock.steady();
  const closeAt = startedAt + gracePeriod * CLOSE_SHARE;
  const endAt = startedAt + gracePeriod - STOP_MARGIN;
  while (clock.steady() < endAt) {
    const now = clock.steady();
    if (now >= startedAt + gracePeriod * STREAM_SHARE) {
      options.onTooLateForStreams();
    }
    if (now >= closeAt) {
      server.close();
      server.closeIdleConnections();
      if (underWay() === 0) {
        break;
      }
    }
    await new Promise((resolve) => setTimeout(resolve, LOOK_INTERVAL));
  }
  server.close();
  server.closeAllConnections();
}
