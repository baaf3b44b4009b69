/** Where an entry found the origin of a stream. @public */
export const OriginSource = {
  /** Its own record. */
  own: "own",
  /** All streams of the route began at one version. */
  only: "only",
  /** The answer of another entry. */
  entry: "entry",
  /** The answer of a control replica. */
  replica: "replica",
} as const;

export type OriginSource = typeof OriginSource[keyof typeof OriginSource];
