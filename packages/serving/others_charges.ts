/** What one source has reported, less what was known when it first did. */
type Source = Map<string, number>;

/**
 * What all other entries charged, from sources that count from different starts
 * and learn of it at different times. What a source reports is never more than
 * the truth, so the most that any of them reports counts; one that is lost and
 * comes back reports what was missed.
 *
 * @internal
 */
export class OthersCharges {
  readonly #isFresh: boolean;
  readonly #sources = new Map<string, Source>();
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
  learn(
    source: string,
    spent: Readonly<Record<string, number>>,
  ): Map<string, number> {
    const known = this.#sources.get(source) ?? this.#begin(source, spent);
    const added = new Map<string, number>();
    for (const [bucket, total] of Object.entries(spent)) {
      const before = this.#totals.get(bucket) ?? 0;
      // A bucket that nobody had named when the source began starts at nothing.
      const start = known.get(bucket) ?? 0;
      const more = total - start - before;
      if (more > 0) {
        this.#totals.set(bucket, before + more);
        added.set(bucket, more);
      }
    }
    return added;
  }

  /** Notes where a source's counts start, against what is known by then. */
  #begin(source: string, spent: Readonly<Record<string, number>>): Source {
    const isFirst = this.#sources.size === 0 && this.#totals.size === 0;
    const starts: Source = new Map();
    this.#sources.set(source, starts);
    if (this.#isFresh && isFirst) {
      return starts;
    }
    for (const [bucket, total] of Object.entries(spent)) {
      starts.set(bucket, total);
    }
    for (const [bucket, before] of this.#totals) {
      starts.set(bucket, (starts.get(bucket) ?? 0) - before);
    }
    return starts;
  }
}
