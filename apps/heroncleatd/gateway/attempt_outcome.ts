/** How an attempt at an upstream ended. */
export const AttemptOutcome = {
  /** The answer came whole. */
  complete: "whole",
  /** The connection ended before the answer did. */
  broken: "broken",
  /** No answer to it came, or one that says that it has not run. */
  notAnswered: "not_answered",
} as const;

export type AttemptOutcome = typeof AttemptOutcome[keyof typeof AttemptOutcome];
