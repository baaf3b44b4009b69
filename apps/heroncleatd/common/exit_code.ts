/** Exit codes of the daemon; docs/OPERATIONS.md explains them. */
export const ExitCode = {
  stopped: 0,
  failed: 1,
  badSettings: 2,
  damagedData: 3,
} as const;
