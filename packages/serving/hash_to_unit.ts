/**
 * Hash of two texts (FNV-1a with a final mix), mapped to 0 up to 1. It is the
 * same in every process.
 *
 * @internal
 */
export const hashToUnit = {
  of(first: string, second: string): number {
    return hashToUnit.finish(hashToUnit.prefix(first), second);
  },

  /** State after the first text, to be combined with several second ones. */
  prefix(first: string): number {
    return addText(0x811c9dc5, first);
  },

  finish(prefix: number, second: string): number {
    let hash = addText(prefix, second);
    hash = Math.imul(hash ^ (hash >>> 15), 0x85ebca6b);
    hash ^= hash >>> 13;
    return (hash >>> 0) / 0x1_0000_0000;
  },
};

function addText(state: number, text: string): number {
  let hash = state;
  for (let at = 0; at < text.length; at += 1) {
    hash = Math.imul(hash ^ text.charCodeAt(at), 0x01000193);
  }
  return hash;
}
