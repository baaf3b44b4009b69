import { xoroshiro128plus } from "pure-rand/generator/xoroshiro128plus";
import { uniformFloat64 } from "pure-rand/distribution/uniformFloat64";
import type { Random } from "./random.ts";

/**
 * Creates a reproducible random number generator for tests and benchmarks.
 *
 * @public
 */
export function createSeededRandom(seed: number): Random {
  const generator = xoroshiro128plus(seed);
  return () => uniformFloat64(generator);
}
