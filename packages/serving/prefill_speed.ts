import type { Milliseconds } from "@heroncleat/base";
import { median } from "./median.ts";

/** Maximum number of retained samples; the oldest are dropped. */
const MAX_SAMPLES = 96;
/** Minimum number of samples for an estimate. */
const MIN_SAMPLES = 18;
/** Number of new samples after which the estimate is updated. */
const SAMPLES_PER_ESTIMATE = 6;
/** Minimum number of pairs of a short and a long prompt for an estimate. */
const MIN_SLOPES = 20;
/** Minimum ratio between the reference times of a pair. */
const MIN_SPREAD_FACTOR = 1.6;
/** Bounds of the estimate against outliers. */
const MIN_MULTIPLE = 0.05;
const MAX_MULTIPLE = 20;

/**
 * Time to first token of a request, and prefill time on the reference engine.
 */
type PrefillSample = {
  readonly reference: Milliseconds;
  readonly took: Milliseconds;
};

/**
 * Estimates the prefill speed of a service's engines, as a multiple of the
 * reference engine's prefill time. It compares long and short prompts, so that
 * constant delays cancel out.
 *
 * @internal
 */
export class PrefillSpeed {
  readonly #samples: PrefillSample[] = [];
  #samplesSinceEstimate = 0;
  #measured: number | undefined;
  #reported: number | undefined;

  /** Records the first token of a request that fetched no KV cache. */
  record(sample: PrefillSample): void {
    this.#samples.push(sample);
    if (this.#samples.length > MAX_SAMPLES) {
      this.#samples.shift();
    }
    this.#samplesSinceEstimate += 1;
    if (
      this.#samples.length >= MIN_SAMPLES &&
      this.#samplesSinceEstimate >= SAMPLES_PER_ESTIMATE
    ) {
      this.#samplesSinceEstimate = 0;
      this.#measured = estimateSlope(this.#samples) ?? this.#measured;
    }
  }

  /** Sets the multiple that all entries together estimated. */
  setReported(multiple: number): void {
    this.#reported = multiple;
  }

  /**
   * Multiple measured by this entry; undefined until there are enough samples.
   */
  get measured(): number | undefined {
    return this.#measured;
  }

  /** Whether any entry has measured the speed. */
  get isKnown(): boolean {
    return this.#reported !== undefined || this.#measured !== undefined;
  }

  /** Prefill time as a multiple of the reference engine's; 1 while unknown. */
  get multiple(): number {
    return this.#reported ?? this.#measured ?? 1;
  }
}

/**
 * Median slope over all pairs of a short and a long prompt (Theil-Sen
 * estimator).
 */
function estimateSlope(samples: readonly PrefillSample[]): number | undefined {
  const sorted = [...samples].sort((left, right) =>
    left.reference - right.reference
  );
  const third = Math.floor(sorted.length / 3);
  const slopes: number[] = [];
  for (const short of sorted.slice(0, third)) {
    for (const long of sorted.slice(-third)) {
      if (long.reference >= short.reference * MIN_SPREAD_FACTOR) {
        const difference = long.reference - short.reference;
        slopes.push((long.took - short.took) / difference);
      }
    }
  }
  const slope = slopes.length < MIN_SLOPES ? undefined : median(slopes);
  return slope === undefined
    ? undefined
    : Math.min(MAX_MULTIPLE, Math.max(MIN_MULTIPLE, slope));
}
