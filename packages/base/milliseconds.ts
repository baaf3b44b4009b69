/** A point in time or a span, in milliseconds. @public */
export type Milliseconds = number;
