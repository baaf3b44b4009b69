/** Omits an empty list from the request. */
export function undefinedIfEmpty<Item>(
  items: readonly Item[],
): readonly Item[] | undefined {
  return items.length > 0 ? items : undefined;
}
