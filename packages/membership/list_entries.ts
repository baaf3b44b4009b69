import type { Random } from "@heroncleat/base";
import type { MemberRecord } from "@heroncleat/schema";

/** An entry as callers are told of it. */
type ListedEntry = { readonly address: string; readonly zone: string };

/**
 * The entries a caller may use: only ones that are alive, the caller's zone
 * first, in random order within a zone so that callers spread.
 *
 * @public
 */
export function listEntries(
  members: readonly MemberRecord[],
  options: { zone: string; most: number; random: Random },
): ListedEntry[] {
  const placed = members
    .filter((member) => member.state === "alive")
    .map((member) => ({
      member,
      distance: member.zone === options.zone ? 0 : 1,
      draw: options.random(),
    }));
  placed.sort((left, right) =>
    left.distance - right.distance || left.draw - right.draw
  );
  return placed.slice(0, options.most).map(({ member }) => ({
    address: member.callerAddress,
    zone: member.zone,
  }));
}
