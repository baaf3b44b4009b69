/** Returns a function that computes a value on its first call and caches it. */
export function memoize<Value>(compute: () => Value): () => Value {
  let cached: { readonly value: Value } | undefined;
  return () => (cached ??= { value: compute() }).value;
}
