import { hashToUnit } from "./hash_to_unit.ts";
import type { KnownEntry } from "./known_entry.ts";

/** Entries that hold the origin of a stream for the one that began it. */
const HOLDER_COUNT = 5;
/** Those of them that are told again and asked first. */
const FIRST_COUNT = 3;

/**
 * Orders entries by rendezvous hashing, so that all entries find the same ones
 * for a stream without exchanging anything, and the loss of one moves few
 * streams.
 *
 * @public
 */
export const originHolders = {
  count: HOLDER_COUNT,
  firstCount: FIRST_COUNT,

  /** The best entry of each availability zone comes first, then the others. */
  rank(stream: string, entries: Iterable<KnownEntry>): KnownEntry[] {
    const prefix = hashToUnit.prefix(stream);
    const ranked = [...entries]
      .map((entry) => ({
        entry,
        value: hashToUnit.finish(prefix, entry.name),
      }))
      .sort((left, right) => right.value - left.value)
      .map(({ entry }) => entry);
    const zones = new Set<string>();
    const first: KnownEntry[] = [];
    const others: KnownEntry[] = [];
    for (const entry of ranked) {
      (zones.has(entry.zone) ? others : first).push(entry);
      zones.add(entry.zone);
    }
    return [...first, ...others];
  },
};
