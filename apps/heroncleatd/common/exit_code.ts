/** Exit codes of the daemon, explained in docs/OPERATIONS.md. */
export const ExitCode = {
  stopped: 0,
  failed: 1,
  badSettings: 2,
  damagedData: 3,
} as const;
