import type { BucketCounts, RouteSamples } from "./route_samples.ts";

/** Adds up samples, for example of several entries or routes. @internal */
export function sumSamples(all: Iterable<RouteSamples>): RouteSamples {
  const sum = { sent: 0, answered: 0, failed: 0 };
  const firstByte: Record<string, number> = {};
  const total: Record<string, number> = {};
  for (const samples of all) {
    sum.sent += samples.sent;
    sum.answered += samples.answered;
    sum.failed += samples.failed;
    addCounts(firstByte, samples.firstByte);
    addCounts(total, samples.total);
  }
  return { ...sum, firstByte, total };
}

function addCounts(sum: Record<string, number>, counts: BucketCounts): void {
  for (const [bucket, count] of Object.entries(counts)) {
    sum[bucket] = (sum[bucket] ?? 0) + count;
  }
}
