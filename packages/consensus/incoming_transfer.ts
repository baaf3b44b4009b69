/** A snapshot or an entry that arrives in chunks. @internal */
export type IncomingTransfer = {
  /** The leader that sends it and its term. */
  readonly from: string;
  readonly term: number;
  /** Log index of the entry, or the last one in the snapshot. */
  readonly index: number;
  /** The characters received so far. */
  readonly data: string;
};
