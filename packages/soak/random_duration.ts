import type { Milliseconds, Random } from "@heroncleat/base";

/** Draws a duration from `min` up to `min + spread`. */
export function randomDuration(
  random: Random,
  { min, spread }: { min: Milliseconds; spread: Milliseconds },
): Milliseconds {
  return min + random() * spread;
}
