import createXxhash from "xxhash-wasm";

/** Loads xxhash and returns the hash function that chains prompt blocks. */
export async function createChainHash(): Promise<
  (text: string, seed: string) => string
> {
  const { h64ToString } = await createXxhash();
  return (text, seed) => h64ToString(seed + text);
}
