/**
 * Why an entry doesn't run a request that another one passed on; it has not run
 * and never will through that entry.
 */
export const RelayRefusal = {
  /** No upstream can run this request now; another one may be served. */
  noUpstream: "no_upstream",
  /** The entry reaches no upstream of the service. */
  unreachable: "unreachable",
  /** It may reach none; probes will soon tell. */
  inDoubt: "in_doubt",
  /** All upstreams are busy for too long, or at their rate limits. */
  overloaded: "overloaded",
  /** Upstreams crash while running it. */
  rejected: "rejected",
  /** Another copy of the suspected request is in flight. */
  held: "held",
  /** The entry shuts down too soon. */
  leaving: "leaving",
  /** The entry has another configuration, or the request isn't an entry's. */
  unserved: "unserved",
} as const;

export type RelayRefusal = typeof RelayRefusal[keyof typeof RelayRefusal];
