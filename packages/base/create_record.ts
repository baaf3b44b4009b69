/**
 * Creates an object for values by names from outside. It inherits nothing, so
 * that a value named `__proto__` is a field like others.
 *
 * @public
 */
export function createRecord<Value>(): Record<string, Value> {
  return Object.create(null) as Record<string, Value>;
}
