/** What one source has reported, less what was known when it first did. */
type Baseline = Map<string, number>;

/**
 * What all other entries charged, from sources that count from different starts
 * and learn of it at different times. What a source reports is never more than
 * the truth, so the most that any of them reports counts; one that is lost and
 * comes back reports what was missed.
 *
 * @internal
 */
export class PeerCharges {
  readonly #isFresh: boolean;
  readonly #baselines = new Map<string, Baseline>();
  readonly #totals = new Map<string, number>();

  /** @param isFresh Whether nobody charged anything before the first source. */
  constructor(isFresh: boolean) {
    this.#isFresh = isFresh;
  }

  /** What is known of a bucket. */
  total(bucket: string): number {
    return this.#totals.get(bucket) ?? 0;
  }

  /** Takes in totals by bucket and gives what they add to what was known. */
  merge(
    source: string,
    spent: Readonly<Record<string, number>>,
  ): Map<string, number> {
    const known = this.#baselines.get(source) ?? this.#addSource(source, spent);
    const added = new Map<string, number>();
    for (const [bucket, total] of Object.entries(spent)) {
      const before = this.#totals.get(bucket) ?? 0;
      // A bucket that nobody had named when the source began starts at nothing.
      const baseline = known.get(bucket) ?? 0;
      const increase = total - baseline - before;
      if (increase > 0) {
        this.#totals.set(bucket, before + increase);
        added.set(bucket, increase);
      }
    }
    return added;
  }

  /** Notes where a source's counts start, against what is known by then. */
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
