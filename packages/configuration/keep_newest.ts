/** Sizes as JSON, as records don't change and each is looked at many times. */
const sizes = new WeakMap<object, number>();

/**
 * Removes the oldest records beyond both limits, but never the newest one.
 *
 * @param records Oldest first.
 * @param limits.maxBytes Size of all as JSON.
 * @internal
 */
export function keepNewest(
  records: object[],
  { maxCount, maxBytes }: { maxCount: number; maxBytes: number },
): void {
  let first = records.length;
  let bytes = 0;
  for (const record of records.toReversed()) {
    bytes += sizeOf(record);
    const count = records.length - first + 1;
    if (count > 1 && (count > maxCount || bytes > maxBytes)) {
      break;
    }
    first -= 1;
  }
  records.splice(0, first);
}

function sizeOf(record: object): number {
  const known = sizes.get(record);
  if (known !== undefined) {
    return known;
  }
  const size = Buffer.byteLength(JSON.stringify(record));
  sizes.set(record, size);
  return size;
}
