/**
 * Returns the value of an object's own field. Names from outside, such as
 * `constructor`, may be those of inherited ones.
 *
 * @public
 */
export function ownValue<Value>(
  record: Readonly<Record<string, Value>>,
  name: string,
): Value | undefined {
  return Object.hasOwn(record, name) ? record[name] : undefined;
}
