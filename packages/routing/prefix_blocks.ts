/** Characters of prompt in one block. */
const BLOCK_CHARACTERS = 256;
/** Blocks looked at; a longer common prefix hardly changes the choice. */
const MOST_BLOCKS = 256;

/** Hashes a text, continuing from an earlier hash. */
type ChainHash = (text: string, seed: string) => string;

/**
 * Hashes the prefix blocks of a prompt. Each hash covers its block and all
 * blocks before it, so that equal hashes mean equal prefixes.
 *
 * @public
 */
export function prefixBlocks(prompt: string, hash: ChainHash): string[] {
  const blocks: string[] = [];
  let seed = "";
  for (
    let start = 0;
    start + BLOCK_CHARACTERS <= prompt.length && blocks.length < MOST_BLOCKS;
    start += BLOCK_CHARACTERS
  ) {
    seed = hash(prompt.slice(start, start + BLOCK_CHARACTERS), seed);
    blocks.push(seed);
  }
  return blocks;
}
