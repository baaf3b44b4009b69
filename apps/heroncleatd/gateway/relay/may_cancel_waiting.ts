import type { Milliseconds } from "@heroncleat/base";

/** Shortest wait for a response, and silence, that the beginning of a cut ends. */
const MIN_SILENCE: Milliseconds = 300;

/**
 * Whether to give up a request that waits for its response, as connections to
 * other upstreams of its service fail silently. That says nothing about an
 * upstream that delivers on the connections that are open.
 */
export function mayCancelWaiting(request: {
  readonly waited: Milliseconds;
  /** Whether any byte of its response was received. */
  readonly hasReceived: boolean;
  /** Time since its upstream delivered a byte to any request. */
  readonly upstreamSilence: Milliseconds;
}): boolean {
  return !request.hasReceived && request.waited >= MIN_SILENCE &&
    request.upstreamSilence >= MIN_SILENCE;
}
