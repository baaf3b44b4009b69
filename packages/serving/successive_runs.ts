import type { Milliseconds } from "@heroncleat/base";
import type { CrashedRun } from "./crashed_run.ts";

/**
 * Time by which what processes tell each other of one moment may differ: a
 * message's way and the wake-up of a busy process.
 */
const MAX_CLOCK_SKEW: Milliseconds = 100;
/** Ends that are closer together may have had one cause. */
const MIN_CRASH_INTERVAL: Milliseconds = 150;
/** The same where the later run was sent after the first end was noticed. */
const MIN_INTERVAL_AFTER_CRASH: Milliseconds = 20;

/**
 * The runs of a request under which upstreams ended that came one after the
 * other, the first one first. Runs that were under way at the same moment count
 * as one: VMs that are reclaimed together end under all that is there, and a
 * request that many callers send is at many of them.
 */
export function successiveRuns(runs: readonly CrashedRun[]): CrashedRun[] {
  const byCrashTime = [...runs].sort((left, right) =>
    left.endedAt - right.endedAt
  );
  const successive: CrashedRun[] = [];
  let lastCrashAt = -Infinity;
  for (const run of byCrashTime) {
    const { sentAt, endedAt } = run;
    const isSeparate = sentAt >= lastCrashAt - MAX_CLOCK_SKEW &&
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
