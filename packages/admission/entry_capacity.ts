/** What an entry knows of the slots that it shares with others. */
type SharedSlots = {
  readonly slots: number;
  /** Slots that are likely free, whoever used the others. */
  readonly freeSlots: number;
  /** Requests that this entry has running. */
  readonly running: number;
  readonly entries: number;
};

/**
 * Requests an entry may have running: its even share of all slots, and beyond
 * that its share of those that are free now. A fixed overcommitment would
 * move the queue to the upstreams, where nobody's turn is kept.
 *
 * @public
 */
export function entryCapacity(shared: SharedSlots): number {
  const { slots, freeSlots, running, entries } = shared;
  const even = Math.ceil(slots / entries);
  const borrowed = Math.floor(freeSlots / entries);
  return Math.max(even, running + borrowed);
}
