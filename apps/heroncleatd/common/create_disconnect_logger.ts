import type { Clock, Milliseconds } from "@heroncleat/base";
import type { Disconnect } from "@heroncleat/transport";
import type { Log } from "./log.ts";
import type { Metrics } from "./metrics.ts";

/** A connection that breaks again and again is logged once in this time. */
const LOG_INTERVAL: Milliseconds = 1000;

type LoggerOptions = {
  readonly log: Log;
  readonly metrics: Metrics;
  readonly clock: Clock;
};

/**
 * Creates a handler that counts the ends of connections between processes and
 * logs them with their cause, at most one a second for each direction.
 */
export function createDisconnectLogger(
  { log, metrics, clock }: LoggerOptions,
): (disconnect: Disconnect) => void {
  let loggedAt = -Infinity;
  let omitted = 0;
  return (disconnect) => {
    const { address, reason, queuedBytes, byPeer } = disconnect;
    metrics.increment("peers.disconnects");
    const now = clock.steady();
    if (now - loggedAt < LOG_INTERVAL) {
      omitted += 1;
      return;
    }
    loggedAt = now;
    const context = { peer: address, reason, queuedBytes, omitted };
    omitted = 0;
    if (byPeer) {
      log.info("A connection to another process was lost", context);
    } else {
      log.warn("Closed a connection to another process", context);
    }
  };
}
