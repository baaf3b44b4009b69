const BLOCK_CHARACTERS = 256;
/** A longer common prefix hardly changes the choice of an upstream. */
const MAX_BLOCKS = 256;

/** Hashes a text together with the hash of the text before it. */
type ChainHash = (text: string, previousHash: string) => string;

/**
 * Hashes the prefix blocks of a prompt. Each hash covers its block and all
 * blocks before it, so equal hashes mean equal prefixes. An incomplete last
 * block is left out.
 *
 * @public
 */
export function hashPrefixBlocks(prompt: string, hash: ChainHash): string[] {
  const blocks: string[] = [];
  let previousHash = "";
  for (
    let start = 0;
    start + BLOCK_CHARACTERS <= prompt.length && blocks.length < MAX_BLOCKS;
    start += BLOCK_CHARACTERS
  ) {
    previousHash = hash(
      prompt.slice(start, start + BLOCK_CHARACTERS),
      previousHash,
    );
    blocks.push(previousHash);
  }
  return blocks;
}
