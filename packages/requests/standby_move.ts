/** Steps of giving a request another standby. @internal */
export const StandbyMove = {
  none: "none",
  /** An entry is being chosen. */
  choosing: "choosing",
  /** The chosen entry is being given the whole copy. */
  copying: "copying",
  /** The ledger is being asked. */
  moving: "moving",
} as const;
