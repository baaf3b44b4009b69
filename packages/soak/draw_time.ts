import type { Milliseconds, Random } from "@heroncleat/base";

/** A time between a least one and so much more. */
export function drawTime(
  random: Random,
  { least, spread }: { least: Milliseconds; spread: Milliseconds },
): Milliseconds {
  return least + random() * spread;
}
