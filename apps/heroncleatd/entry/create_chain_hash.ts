import createXxhash from "xxhash-wasm";

/** Loads the hash that chains the blocks of a prompt. */
export async function createChainHash(): Promise<
  (text: string, seed: string) => string
> {
  const { h64ToString } = await createXxhash();
  return (text, seed) => h64ToString(seed + text);
}
