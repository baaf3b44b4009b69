import type { CallerRequest } from "../caller_request.ts";
import { findAvailability } from "./find_availability.ts";
import type { ForwardContext } from "../forward_context.ts";

/** Largest number of upstreams to which a request is sent. */
const MAX_OFFERS = 3;
/**
 * The same while upstreams reject it and others are left that have rejected
 * nothing lately, and with those that refused a connection.
 */
const MAX_OFFERS_IN_ALL = 6;

/**
 * Whether a request may be sent to another upstream, as far as their number. Of
 * a version that goes away many refuse connections, which costs no time and
 * doesn't count for a stream that it must go on with.
 */
export function mayOfferAgain(
  call: CallerRequest,
  { offers, rejections, refusedConnections, ...options }: {
    readonly context: ForwardContext;
    /** Identifiers of upstreams that were tried. */
    readonly excluded: ReadonlySet<string>;
    /** The only software version that may run it; undefined if any. */
    readonly version: string | undefined;
    /** Number of upstreams that it was sent to, and that rejected it. */
    readonly offers: number;
    readonly rejections: number;
    /** Number of upstreams that refused a connection. */
    readonly refusedConnections: number;
  },
): boolean {
  const uncounted = options.version === undefined ? 0 : refusedConnections;
  if (offers - uncounted < MAX_OFFERS && offers < MAX_OFFERS_IN_ALL) {
    return true;
  }
  return rejections === offers && offers < MAX_OFFERS_IN_ALL &&
    findAvailability(call, options).willing > 0;
}
