import type { Milliseconds } from "@heroncleat/base";
import type { CrashedRun } from "./crashed_run.ts";

/**
 * Time by which what processes tell each other of one moment may differ: a
 * message's way and the wake-up of a busy process.
 */
const SKEW: Milliseconds = 100;
/** Ends that are closer together may have had one cause. */
const APART: Milliseconds = 150;

/**
 * How many upstreams ended under runs of a request that came one after the
 * other. Runs that were under way at the same moment count as one: VMs that
 * are reclaimed together end under all that is there, and a request that many
 * callers send is at many of them.
 */
export function countCrashes(runs: readonly CrashedRun[]): number {
  const byEnd = [...runs].sort((left, right) => left.endedAt - right.endedAt);
  let count = 0;
  let lastEnd = -Infinity;
  for (const { sentAt, endedAt } of byEnd) {
    const isLater = sentAt >= lastEnd - SKEW && endedAt >= lastEnd + APART;
    if (isLater) {
      count += 1;
      lastEnd = endedAt;
    }
  }
  return count;
}
