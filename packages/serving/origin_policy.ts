/** How entries know where streams began, for comparison. @internal */
export type OriginPolicy = {
  /** Holders that are told of each stream; the others are told of none. */
  readonly holders: number;
  /** Holders that are told once more. */
  readonly toldAgain: number;
  /** Control replicas that store each origin; they are asked, too. */
  readonly replicaCopies: number;
  /** Whether questions yield to what holders are told. */
  readonly hasReserve: boolean;
  /** Whether holders are asked, then the others, or nobody. */
  readonly asks: "holders" | "all" | "nobody";
  /**
   * What shows an entry that it knows all versions: a reply that arrived lately,
   * one that was requested lately, or one that is requested from now on.
   */
  readonly currentBy: "arrival" | "request" | "confirmation";
  /**
   * Whether an unknown origin is computed from the stream's identifier and the
   * versions that the entry knows of, rather than refused.
   */
  readonly isComputed: boolean;
};
