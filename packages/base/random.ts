/** Returns a random number in the range [0, 1). @public */
export type Random = () => number;
