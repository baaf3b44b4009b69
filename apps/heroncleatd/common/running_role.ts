/** A role of this process, started. */
export type RunningRole = {
  /** Serves its methods and opens its listeners. */
  start(): Promise<void>;
  /** Leaves gracefully within the time limit. */
  stop(limit: number): Promise<void>;
};
