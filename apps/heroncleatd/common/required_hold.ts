import type { Milliseconds } from "@heroncleat/base";
import { EXIT_TIME } from "./exit_time.ts";

/** Delay of the message that announced when a VM is reclaimed, at most. */
const ANNOUNCEMENT_DELAY: Milliseconds = 250;

/**
 * How long a connection to an upstream that ended a response with its
 * connection must stay open to show that its process hasn't crashed. Undefined
 * if the process may exit by intent, after its last response: one that is
 * leaving does so unless its VM is reclaimed before.
 */
export function requiredHold(
  upstream: {
    readonly isLeaving: boolean;
    /** By the same clock as `now`; undefined if it isn't known. */
    readonly reclaimedAt: Milliseconds | undefined;
  },
  now: Milliseconds,
): Milliseconds | undefined {
  const { isLeaving, reclaimedAt = Infinity } = upstream;
  if (!isLeaving) {
    return EXIT_TIME;
  }
  const isReclaimNear = now >= reclaimedAt - ANNOUNCEMENT_DELAY;
  return isReclaimNear
    ? Math.max(EXIT_TIME, reclaimedAt + ANNOUNCEMENT_DELAY - now)
    : undefined;
}
