import type { Clock, Milliseconds } from "@heroncleat/base";
import type { PeerRefusal } from "@heroncleat/transport";
import type { Log } from "./log.ts";
import type { Metrics } from "./metrics.ts";

/** Refusals of one cause are logged once in this time. */
const LOG_INTERVAL: Milliseconds = 1000;

/**
 * Creates a handler that counts connections refused at the port for other
 * processes by cause, and logs one a second of each.
 */
export function createRefusalLogger(
  { log, metrics, clock }: {
    readonly log: Log;
    readonly metrics: Pick<Metrics, "increment">;
    readonly clock: Pick<Clock, "steady">;
  },
): (refusal: PeerRefusal) => void {
  const loggedAt = new Map<string, Milliseconds>();
  const omitted = new Map<string, number>();
  return ({ address, cause, reason }) => {
    metrics.increment(`peers.refused.${cause}`);
    const now = clock.steady();
    const omittedBefore = omitted.get(cause) ?? 0;
    if (now - (loggedAt.get(cause) ?? -Infinity) < LOG_INTERVAL) {
      omitted.set(cause, omittedBefore + 1);
      return;
    }
    loggedAt.set(cause, now);
    omitted.delete(cause);
    log.warn("Refused a connection of another process", {
      peer: address,
      cause,
      reason,
      omitted: omittedBefore,
    });
  };
}
