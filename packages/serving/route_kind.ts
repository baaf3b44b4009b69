/** Execution semantics of a route's requests. @public */
export const RouteKind = {
  /** May run any number of times. */
  idempotent: "idempotent",
  /** May run at most once for each attempt of a caller. */
  nonIdempotent: "non_idempotent",
  /** Responds with a stream of events; runs at most once unless resumable. */
  streaming: "streaming",
} as const;
