/** Returns a random number from 0 up to, but not including, 1. @public */
export type Random = () => number;
