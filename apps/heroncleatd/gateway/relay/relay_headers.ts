/** Headers between entries that pass on requests, in lower case. */
export const relayHeaders = {
  /** The signed `RelayGrant`. Upstreams and callers never get it. */
  grant: "heroncleat-relay",
  /** Why the request isn't run; a `RelayRefusal`. */
  refusal: "heroncleat-relay-refusal",
  /** Present if an upstream got the request and rejected it. */
  wasSent: "heroncleat-relay-was-sent",
  /**
   * Software version of the upstream that a response comes from, encoded for a
   * URI; callers never get it.
   */
  version: "heroncleat-relay-version",
  /**
   * Identifier of the upstream instance that a response comes from, encoded for
   * a URI; callers never get it.
   */
  upstream: "heroncleat-relay-upstream",
} as const;
