/**
 * Hash of two texts (FNV-1a with a final mix), mapped to 0 up to 1. It is the
 * same in every process.
 *
 * @internal
 */
export function hashToUnit(first: string, second: string): number {
  let hash = 0x811c9dc5;
  for (const text of [first, second]) {
    for (let at = 0; at < text.length; at += 1) {
      hash = Math.imul(hash ^ text.charCodeAt(at), 0x01000193);
    }
  }
  hash = Math.imul(hash ^ (hash >>> 15), 0x85ebca6b);
  hash ^= hash >>> 13;
  return (hash >>> 0) / 0x1_0000_0000;
}
