/** A point in time or a duration, in milliseconds. @public */
export type Milliseconds = number;
