/**
 * Phases of an owned request.
 *
 * @public
 */
export const RequestPhase = {
  accepting: "accepting",
  running: "running",
  handingOver: "handing_over",
  ended: "ended",
} as const;
