/** A function that is worked out once, when it is first called. */
export function memoize<Value>(work: () => Value): () => Value {
  let known: { readonly value: Value } | undefined;
  return () => (known ??= { value: work() }).value;
}
