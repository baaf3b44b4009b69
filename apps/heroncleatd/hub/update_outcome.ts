/**
 * Result of an update that an upstream sends about itself. Only an `accepted`
 * update may be acknowledged: it survives the tolerated losses.
 */
export type UpdateOutcome =
  | {
    readonly kind: "accepted";
    /**
     * host:port of the replica that accepted it, if that is another process.
     */
    readonly heldBy?: string;
  }
  /** The update is invalid; resending it unchanged won't help. */
  | { readonly kind: "refused"; readonly problem: string }
  /** This replica can't make the update durable now; another one may. */
  | { readonly kind: "unavailable"; readonly problem: string };
