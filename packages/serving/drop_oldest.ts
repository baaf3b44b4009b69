/**
 * Removes the entries that were inserted first, until the limit holds.
 *
 * @internal
 */
export function dropOldest(
  entries: Map<string, unknown>,
  limit: number,
): void {
  for (const key of entries.keys()) {
    if (entries.size <= limit) {
      return;
    }
    entries.delete(key);
  }
}
