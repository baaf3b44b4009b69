/**
 * Steps of moving a request to another standby.
 *
 * @internal
 */
export const StandbyMove = {
  none: "none",
  /** Waits for the choice of an entry. */
  choosing: "choosing",
  /** Sends the complete copy to the chosen entry. */
  copying: "copying",
  /** Waits for the ledger to commit the move. */
  moving: "moving",
} as const;
