/**
 * A source's first total of each bucket minus the total known here at that
 * time.
 */
type Baseline = Map<string, number>;

/**
 * Charges of all other entries, merged from sources that started to count at
 * different times. No source reports more than was charged, so the maximum of
 * all sources counts.
 *
 * @internal
 */
export class PeerCharges {
  readonly #isFresh: boolean;
  readonly #baselines = new Map<string, Baseline>();
  readonly #totals = new Map<string, number>();

  /**
   * @param isFresh Whether nothing was charged before the first source reports.
   */
  constructor(isFresh: boolean) {
    this.#isFresh = isFresh;
  }

  total(bucket: string): number {
    return this.#totals.get(bucket) ?? 0;
  }

  /**
   * Merges the totals of a source.
   *
   * @returns The increase of each bucket's total.
   */
  merge(
    source: string,
    spent: Readonly<Record<string, number>>,
  ): Map<string, number> {
    const known = this.#baselines.get(source) ?? this.#addSource(source, spent);
    const added = new Map<string, number>();
    for (const [bucket, total] of Object.entries(spent)) {
      const before = this.#totals.get(bucket) ?? 0;
      // A bucket that no source had named when this one was added starts at 0.
      const baseline = known.get(bucket) ?? 0;
      const increase = total - baseline - before;
      if (increase > 0) {
        this.#totals.set(bucket, before + increase);
        added.set(bucket, increase);
      }
    }
    return added;
  }

  /**
   * Records the baseline of a new source, relative to the totals known so far.
   */
  #addSource(
    source: string,
    spent: Readonly<Record<string, number>>,
  ): Baseline {
    const isFirstSource = this.#baselines.size === 0 && this.#totals.size === 0;
    const baseline: Baseline = new Map();
    this.#baselines.set(source, baseline);
    if (this.#isFresh && isFirstSource) {
      return baseline;
    }
    for (const [bucket, total] of Object.entries(spent)) {
      baseline.set(bucket, total);
    }
    for (const [bucket, before] of this.#totals) {
      baseline.set(bucket, (baseline.get(bucket) ?? 0) - before);
    }
    return baseline;
  }
}
