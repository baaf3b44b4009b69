/**
 * A deterministic state machine driven by a replicated log. Every replica
 * applies the same commands in the order of the log.
 */
export type ReplicatedApplication = {
  /** Applies a committed command and returns its result. */
  apply(command: never): unknown;
  snapshot(): string;
  restore(data: string): void;
};
