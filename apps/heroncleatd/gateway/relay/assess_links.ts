import { LinkSuspicion } from "./link_suspicion.ts";

/**
 * Unopened connections of one request after which another entry is asked,
 * though this one isn't known to be cut off.
 */
const MAX_UNOPENED = 2;

/**
 * Assesses whether the connections that a request couldn't open are due to this
 * entry's links. The few upstreams of a version may have ended together, and
 * then no other entry could go on with its streams either.
 */
export function assessLinks(
  { isInDoubt, unopened, refusedConnections, isBound }: {
    /** Whether this entry reaches no upstream, or may not. */
    readonly isInDoubt: boolean;
    /** See `AttemptOptions`. */
    readonly unopened: number;
    readonly refusedConnections: number;
    /** Whether only one version may run the request. */
    readonly isBound: boolean;
  },
): LinkSuspicion {
  if (isInDoubt) {
    return LinkSuspicion.strong;
  }
  if (unopened < MAX_UNOPENED) {
    return LinkSuspicion.none;
  }
  return isBound && unopened === refusedConnections
    ? LinkSuspicion.unclear
    : LinkSuspicion.strong;
}
