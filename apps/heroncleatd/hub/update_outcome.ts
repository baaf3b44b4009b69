/**
 * What became of what an upstream says of itself. Only what is `accepted` may
 * be acknowledged: it stands, whatever is lost next.
 */
export type UpdateOutcome =
  | {
    readonly kind: "accepted";
    /** host:port of the replica that took it, where that is another process. */
    readonly heldBy?: string;
  }
  /** It can't be right; the same again will be refused again. */
  | { readonly kind: "refused"; readonly problem: string }
  /** It can't be promised here and now; another replica may. */
  | { readonly kind: "unavailable"; readonly problem: string };
