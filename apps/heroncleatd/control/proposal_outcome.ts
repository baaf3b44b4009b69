/** What became of a proposed command. */
export type ProposalOutcome =
  | { readonly kind: "done"; readonly result: unknown }
  /** Nothing was appended; the peer address of the leader, if known. */
  | { readonly kind: "not_leader"; readonly leader: string }
  /** It may or may not be committed later. */
  | { readonly kind: "unknown" };
