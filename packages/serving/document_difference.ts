/** A difference between two configuration documents. @public */
export type DocumentDifference = {
  readonly change: "added" | "removed" | "changed";
  /** Kind and name of the part, such as `route chat`. */
  readonly part: string;
  /** Undefined if the whole part was added or removed. */
  readonly field: string | undefined;
  readonly before: string | undefined;
  readonly after: string | undefined;
};
