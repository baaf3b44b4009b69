import { hashToUnit } from "./hash_to_unit.ts";

/**
 * How many slots of an upstream an entry may use so that all together use no
 * more than there are. The remainder goes to other entries for each upstream.
 *
 * @param options.entries Names of all entries that are listed.
 * @param options.entryCount Includes entries that aren't listed.
 * @public
 */
export function slotShare(
  { slots, entry, entries, entryCount, upstream }: {
    readonly slots: number;
    readonly entry: string;
    readonly entries: readonly string[];
    readonly entryCount: number;
    readonly upstream: string;
  },
): number {
  const count = Math.max(1, entryCount, entries.length);
  const own = hashToUnit.of(entry, upstream);
  let rank = 0;
  for (const other of entries) {
    rank += other !== entry && hashToUnit.of(other, upstream) < own ? 1 : 0;
  }
  return Math.floor(slots / count) + (rank < slots % count ? 1 : 0);
}
