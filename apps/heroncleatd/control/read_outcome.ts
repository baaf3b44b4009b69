/** The outcome of a request for a confirmed read index. */
export type ReadOutcome =
  | { readonly kind: "index"; readonly index: number }
  | { readonly kind: "not_leader"; readonly leader: string };
