import type { Random } from "@heroncleat/base";

const MENUS = 4;
const GUESTS = 40;

/**
 * The parts of a prompt: one that many requests share, one that few do, and one
 * of its own.
 */
export function drawPromptParts(random: Random, own: string): string[] {
  return [
    `menu-${Math.floor(random() * MENUS)}`,
    `guest-${Math.floor(random() * GUESTS)}`,
    own,
  ];
}
