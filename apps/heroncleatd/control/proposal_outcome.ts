/** The outcome of a proposed command. */
export type ProposalOutcome =
  | { readonly kind: "done"; readonly result: unknown }
  /** Not appended. `leader` is the leader's peer address; empty if unknown. */
  | { readonly kind: "not_leader"; readonly leader: string }
  /** The command may or may not be committed later. */
  | { readonly kind: "unknown" };
