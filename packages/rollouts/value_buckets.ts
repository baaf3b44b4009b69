import type { BucketCounts } from "./route_samples.ts";

/** Ratio between the bounds of a bucket. */
const BUCKET_RATIO = 1.25;
/** Limits the number of buckets; larger values count as this one. */
const MAX_BUCKET = 80;

/** Buckets of geometrically growing width for positive values. @internal */
export const valueBuckets = {
  /** Number of the bucket of a value; 0 contains 1. */
  of(value: number): number {
    const exact = Math.log(Math.max(value, Number.MIN_VALUE)) /
      Math.log(BUCKET_RATIO);
    return Math.round(Math.max(-MAX_BUCKET, Math.min(MAX_BUCKET, exact)));
  },

  /** Bucket of the median; undefined without values. */
  median(counts: BucketCounts): number | undefined {
    const buckets = Object.keys(counts).map(Number).sort((a, b) => a - b);
    let remaining = valueBuckets.count(counts) / 2;
    for (const bucket of buckets) {
      remaining -= counts[bucket]!;
      if (remaining <= 0) {
        return bucket;
      }
    }
    return undefined;
  },

  count(counts: BucketCounts): number {
    let sum = 0;
    for (const count of Object.values(counts)) {
      sum += count;
    }
    return sum;
  },

  /** Number of values in a bucket or a higher one. */
  countFrom(counts: BucketCounts, first: number): number {
    let sum = 0;
    for (const [bucket, count] of Object.entries(counts)) {
      sum += Number(bucket) >= first ? count : 0;
    }
    return sum;
  },
};
