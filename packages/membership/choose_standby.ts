import type { Random } from "@heroncleat/base";
import type { MemberRecord } from "@heroncleat/schema";

/**
 * The entry that holds the copy of a request: alive, and in another zone than
 * the owner wherever there is one. An excluded entry is better than none.
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
  const fresh = candidates.filter((member) =>
    !options.exclude.includes(member.name)
  );
  const elsewhere = fresh.filter((member) => member.zone !== owner?.zone);
  const pools = [elsewhere, fresh, candidates];
  const pool = pools.find((members) => members.length > 0) ?? [];
  return pool[Math.floor(options.random() * pool.length)];
}
