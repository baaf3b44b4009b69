/**
 * Checks in a row without bytes from the upstream after which a run may be given
 * up. Counted instead of timed, as bytes wait unread while the process stalls.
 */
const MAX_SILENT_CHECKS = 3;

/**
 * Whether to close a connection in use because its upstream instance is said to
 * be replaced. Late heartbeats may say so of a running instance, so the
 * connection must be silent, and the replacement must accept connections.
 */
export function mayGiveUpRun(run: {
  /** Whether another instance of the upstream counts as the current one. */
  readonly isReplaced: boolean;
  /** Whether that instance accepts connections, at another address. */
  readonly isReplacementUp: boolean;
  /** Whether another upstream could repeat the request or go on with it. */
  readonly isReplaceable: boolean;
  readonly silentChecks: number;
}): boolean {
  return run.isReplaced && run.isReplacementUp && run.isReplaceable &&
    run.silentChecks >= MAX_SILENT_CHECKS;
}
