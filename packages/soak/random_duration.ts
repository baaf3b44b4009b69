import type { Milliseconds, Random } from "@heroncleat/base";

/** A time between a least one and so much more. */
export function randomDuration(
  random: Random,
  { min, spread }: { min: Milliseconds; spread: Milliseconds },
): Milliseconds {
  return min + random() * spread;
}
