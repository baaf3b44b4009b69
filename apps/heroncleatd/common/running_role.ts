/** A role that this process runs. */
export type RunningRole = {
  /** Registers the role's RPC methods and opens its listeners. */
  start(): Promise<void>;
  /** Shuts down gracefully within the time limit, in ms. */
  stop(timeLimit: number): Promise<void>;
};
