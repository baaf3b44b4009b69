import type { Server } from "node:http";
import type { Clock, Milliseconds } from "@heroncleat/base";
import type { UnsentResponses } from "../../common/unsent_responses.ts";
import { readArrived } from "./read_arrived.ts";
import type { ShutdownEnd } from "./shutdown_end.ts";

const POLL_INTERVAL: Milliseconds = 50;
/** Limit for reading what has arrived when little of the grace period is left. */
const MIN_READ_TIME: Milliseconds = 250;

type ShutdownOptions = {
  /** The server for callers. */
  readonly server: Server;
  /** The server for entries that pass requests on; it closes at the end. */
  readonly relayServer: Server;
  readonly clock: Clock;
  /**
   * Monotonic time from which no connections are accepted and idle ones are
   * closed.
   */
  readonly closesAt: Milliseconds;
  /** Monotonic time at which requests in flight are given up. */
  readonly endsAt: Milliseconds;
  /** Monotonic time at which the process exits. */
  readonly exitsAt: Milliseconds;
  /** Returns the number of requests in flight. */
  readonly underWay: () => number;
  readonly unsent: Pick<UnsentResponses, "exist">;
  /** Ends the requests without a response by one of this entry. */
  readonly giveUp: () => void;
  /** Resets the connections of the responses that were begun. */
  readonly breakOff: () => void;
};

/** Time until the requests are given up, or else until the process exits. */
function nextAfter(
  now: Milliseconds,
  { endsAt, exitsAt }: Pick<ShutdownOptions, "endsAt" | "exitsAt">,
): Milliseconds {
  return Math.max(1, (now < endsAt ? endsAt : exitsAt) - now);
}

/**
 * Accepts connections until they are to be closed, since callers are slow to
 * notice that an entry shuts down. Then closes idle ones and waits for the
 * requests in flight. Shortly before the exit it answers those without a
 * response.
 */
export async function shutDownGracefully(
  options: ShutdownOptions,
): Promise<ShutdownEnd> {
  const { server, relayServer, clock, endsAt, exitsAt, underWay } = options;
  const servers = [server, relayServer];
  let isEarly = false;
  let largestDelay: Milliseconds = 0;
  while (clock.steady() < exitsAt) {
    if (clock.steady() >= options.closesAt) {
      const timeLimit = Math.max(MIN_READ_TIME, endsAt - clock.steady());
      await readArrived(servers, { clock, timeLimit });
      if (!options.unsent.exist) {
        server.close();
        server.closeIdleConnections();
      }
      if (underWay() === 0) {
        isEarly = true;
        break;
      }
    }
    if (clock.steady() >= endsAt) {
      options.giveUp();
    }
    const now = clock.steady();
    const wait = Math.min(POLL_INTERVAL, nextAfter(now, options));
    await new Promise((resolve) => setTimeout(resolve, wait));
    largestDelay = Math.max(largestDelay, clock.steady() - now - wait);
  }
  // The process may have stood still until now.
  const lastRead = { clock, timeLimit: MIN_READ_TIME };
  await readArrived(servers, lastRead);
  options.giveUp();
  await readArrived(servers, lastRead);
  options.breakOff();
  for (const each of servers) {
    each.close();
    each.closeAllConnections();
  }
  return { isEarly, largestDelay };
}
