/** What a caller received over all tries of a stream. */
export type StreamOutcome = {
  readonly path: string;
  /** Versions that wrote its events. */
  readonly versions: ReadonlySet<string>;
  /** Why the events of all tries don't make up the stream; undefined if they do. */
  readonly problem: string | undefined;
};
