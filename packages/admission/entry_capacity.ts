/** Slots shared by several entries, as one of them sees them. */
type SlotUsage = {
  readonly slots: number;
  /** Estimated free slots across all entries. */
  readonly freeSlots: number;
  /** Running requests of this entry. */
  readonly running: number;
  readonly entries: number;
};

/**
 * Returns the number of requests an entry may run: its even share of all
 * slots, or more when slots are free. A fixed overcommitment would move the
 * queue to the upstreams, which apply neither priorities nor fair shares.
 *
 * @public
 */
export function entryCapacity(usage: SlotUsage): number {
  const { slots, freeSlots, running, entries } = usage;
  const evenShare = Math.ceil(slots / entries);
  const borrowed = Math.floor(freeSlots / entries);
  return Math.max(evenShare, running + borrowed);
}
