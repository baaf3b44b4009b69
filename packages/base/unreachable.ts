/**
 * Marks the end of an exhaustive switch: a missing case is a compile-time
 * error.
 *
 * @public
 */
export function unreachable(value: never): never {
  throw new Error(`Unexpected variant: ${JSON.stringify(value)}`);
}
