/** Exit codes of the tool; docs/OPERATIONS.md explains them. */
export const ExitCode = {
  done: 0,
  failed: 1,
  badUsage: 2,
  conflict: 3,
  refused: 4,
} as const;
