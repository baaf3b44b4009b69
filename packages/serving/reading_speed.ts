import type { Milliseconds } from "@heroncleat/base";
import { median } from "./median.ts";

/** First tokens that are remembered; the oldest yield. */
const MOST_SAMPLES = 96;
/** First tokens from which the estimate is better than the others'. */
const LEAST_SAMPLES = 18;
/** New first tokens after which the estimate is made anew. */
const RENEWED_AFTER = 6;
/** Pairs of a short and a long prompt that an estimate needs. */
const LEAST_SLOPES = 20;
/** How far the sizes of long and short prompts must lie apart. */
const LEAST_SPREAD = 1.6;
/** Bounds that keep a few odd answers from making an estimate absurd. */
const LEAST_MULTIPLE = 0.05;
const MOST_MULTIPLE = 20;

/** How long a prompt took, and how long the reference engine would take. */
type ReadingSample = {
  readonly reference: Milliseconds;
  readonly took: Milliseconds;
};

/**
 * Learns how fast the engines of a service read prompts, as a multiple of the
 * time of the reference engine, from the first tokens of requests. The
 * difference between long and short prompts counts, so that the way there, an
 * engine's start-up time and other work, which meet both alike, fall out.
 *
 * It guards the choice of an upstream and the size of the fleet against
 * figures of another engine.
 *
 * @internal
 */
export class ReadingSpeed {
  readonly #samples: ReadingSample[] = [];
  #sinceRenewed = 0;
  #own: number | undefined;
  #reported: number | undefined;

  /** Takes in a first token of a request that fetched nothing. */
  note(sample: ReadingSample): void {
    this.#samples.push(sample);
    if (this.#samples.length > MOST_SAMPLES) {
      this.#samples.shift();
    }
    this.#sinceRenewed += 1;
    if (
      this.#samples.length >= LEAST_SAMPLES &&
      this.#sinceRenewed >= RENEWED_AFTER
    ) {
      this.#sinceRenewed = 0;
      this.#own = estimate(this.#samples) ?? this.#own;
    }
  }

  /** Takes in what other entries estimate. */
  learn(multiple: number): void {
    this.#reported = multiple;
  }

  /** What this entry measured itself; nothing before there is enough. */
  get measured(): number | undefined {
    return this.#own;
  }

  /** Whether any entry has measured it. */
  get isKnown(): boolean {
    return this.#reported !== undefined || this.#own !== undefined;
  }

  /** Reading time as a multiple of the reference engine's. */
  get multiple(): number {
    return this.#reported ?? this.#own ?? 1;
  }
}

/** The median slope between any short prompt and any long one (Theil-Sen). */
function estimate(samples: readonly ReadingSample[]): number | undefined {
  const sorted = [...samples].sort((left, right) =>
    left.reference - right.reference
  );
  const third = Math.floor(sorted.length / 3);
  const slopes: number[] = [];
  for (const short of sorted.slice(0, third)) {
    for (const long of sorted.slice(-third)) {
      if (long.reference >= short.reference * LEAST_SPREAD) {
        const longer = long.reference - short.reference;
        slopes.push((long.took - short.took) / longer);
      }
    }
  }
  const slope = slopes.length < LEAST_SLOPES ? undefined : median(slopes);
  return slope === undefined
    ? undefined
    : Math.min(MOST_MULTIPLE, Math.max(LEAST_MULTIPLE, slope));
}
