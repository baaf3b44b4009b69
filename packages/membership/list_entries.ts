import type { Random } from "@heroncleat/base";
import type { MemberRecord } from "@heroncleat/schema";

/** An entry in the response to a discovery request. */
type ListedEntry = { readonly address: string; readonly zone: string };

/**
 * Lists at most `maxEntries` alive entries for a caller, those in the
 * caller's zone first. The order is random otherwise, which distributes the
 * callers.
 *
 * @public
 */
export function listEntries(
  members: readonly MemberRecord[],
  options: { zone: string; maxEntries: number; random: Random },
): ListedEntry[] {
  const ranked = members
    .filter((member) => member.state === "alive")
    .map((member) => ({
      member,
      distance: member.zone === options.zone ? 0 : 1,
      randomKey: options.random(),
    }));
  ranked.sort((left, right) =>
    left.distance - right.distance || left.randomKey - right.randomKey
  );
  return ranked.slice(0, options.maxEntries).map(({ member }) => ({
    address: member.callerAddress,
    zone: member.zone,
  }));
}
