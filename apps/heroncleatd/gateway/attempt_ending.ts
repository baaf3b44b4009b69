/** How an attempt at an upstream ended. */
export const AttemptEnding = {
  /** The answer came whole. */
  whole: "whole",
  /** The connection ended before the answer did. */
  broken: "broken",
  /** No answer to it came, or one that says that it has not run. */
  notAnswered: "not_answered",
} as const;

/** @see AttemptEnding */
export type AttemptEnding = typeof AttemptEnding[keyof typeof AttemptEnding];
