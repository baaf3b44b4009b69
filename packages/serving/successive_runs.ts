import type { Milliseconds } from "@heroncleat/base";
import type { CrashedRun } from "./crashed_run.ts";

/**
 * Maximum difference between the times at which two processes record the same
 * event, due to message latency and scheduling.
 */
const MAX_EVENT_TIME_SKEW: Milliseconds = 100;
/** Crashes less than this apart may have a common cause. */
const MIN_CRASH_INTERVAL: Milliseconds = 150;
/**
 * The same where the later run was sent after the earlier crash was detected.
 */
const MIN_INTERVAL_AFTER_CRASH: Milliseconds = 20;

/**
 * Selects the crashed runs that followed one another, the earliest first.
 * Overlapping runs count as one: VMs that are reclaimed together crash under
 * all requests running there, and copies of a frequent request run on many of
 * them.
 */
export function successiveRuns(runs: readonly CrashedRun[]): CrashedRun[] {
  const byCrashTime = [...runs].sort((left, right) =>
    left.endedAt - right.endedAt
  );
  const successive: CrashedRun[] = [];
  let lastCrashAt = -Infinity;
  for (const run of byCrashTime) {
    const { sentAt, endedAt } = run;
    const isSeparate = sentAt >= lastCrashAt - MAX_EVENT_TIME_SKEW &&
      endedAt >= lastCrashAt + MIN_CRASH_INTERVAL;
    const isSentAfterCrash = sentAt >= lastCrashAt &&
      endedAt >= lastCrashAt + MIN_INTERVAL_AFTER_CRASH;
    if (isSeparate || isSentAfterCrash) {
      successive.push(run);
      lastCrashAt = endedAt;
    }
  }
  return successive;
}
