/**
 * What a replicated log drives. Commands come in the order of the log, and
 * the same ones at every replica.
 */
export type ReplicatedApplication = {
  /** Applies a committed command and returns its result. */
  apply(command: never): unknown;
  snapshot(): string;
  restore(data: string): void;
};
