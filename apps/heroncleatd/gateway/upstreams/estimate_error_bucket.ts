import type { Milliseconds } from "@heroncleat/base";

/** Upper bounds of the buckets. */
const BOUNDS: readonly Milliseconds[] = [-100, -30, 30, 100, 300, 1000];

/** Names the bucket of a difference between actual and estimated time. */
export function estimateErrorBucket(error: Milliseconds): string {
  const bound = BOUNDS.find((value) => error <= value);
  if (bound === undefined) {
    return "over_1000ms";
  }
  return bound < 0 ? `to_minus_${-bound}ms` : `to_${bound}ms`;
}
