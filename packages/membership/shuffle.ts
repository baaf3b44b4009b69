import type { Random } from "@heroncleat/base";

/** Returns the items in random order (Fisher-Yates shuffle). @internal */
export function shuffle<Item>(items: readonly Item[], random: Random): Item[] {
  const shuffled = [...items];
  for (let index = shuffled.length - 1; index > 0; index -= 1) {
    const randomIndex = Math.floor(random() * (index + 1));
    const item = shuffled[index]!;
    shuffled[index] = shuffled[randomIndex]!;
    shuffled[randomIndex] = item;
  }
  return shuffled;
}
