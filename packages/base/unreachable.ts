/**
 * Ends an exhaustive switch: the compiler refuses a call that can be reached.
 *
 * @public
 */
export function unreachable(value: never): never {
  throw new Error(`Unexpected variant: ${JSON.stringify(value)}`);
}
