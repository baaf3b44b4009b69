/** How the links of an entry to upstreams fail. */
export type LinkFailure =
  /** New connections are refused; open ones are reset at the beginning. */
  | "refused"
  /** No packet arrives, in either direction. */
  | "silent"
  /** New connections are refused; open ones work. */
  | "new_refused";
