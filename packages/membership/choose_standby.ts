import type { Random } from "@heroncleat/base";
import type { MemberRecord } from "@heroncleat/schema";

/**
 * Chooses the entry that stores the copy of a request: a random alive one,
 * preferably in another zone than the owner, and an excluded one only if there
 * is no other. `undefined` if none is alive.
 *
 * @public
 */
export function chooseStandby(
  members: readonly MemberRecord[],
  options: { owner: string; exclude: readonly string[]; random: Random },
): MemberRecord | undefined {
  const owner = members.find((member) => member.name === options.owner);
  const candidates = members.filter((member) =>
    member.state === "alive" && member.name !== options.owner
  );
  const notExcluded = candidates.filter((member) =>
    !options.exclude.includes(member.name)
  );
  const inOtherZones = notExcluded.filter((member) =>
    member.zone !== owner?.zone
  );
  const pools = [inOtherZones, notExcluded, candidates];
  const pool = pools.find((members) => members.length > 0) ?? [];
  return pool[Math.floor(options.random() * pool.length)];
}
