import type { Milliseconds } from "@heroncleat/base";
import type { CrashedRun } from "./crashed_run.ts";

/**
 * Time by which what processes tell each other of one moment may differ: a
 * message's way and the wake-up of a busy process.
 */
const SKEW: Milliseconds = 100;
/** Ends that are closer together may have had one cause. */
const APART: Milliseconds = 150;
/** The same where the later run was sent after the first end was noticed. */
const APART_AFTER_END: Milliseconds = 20;

/**
 * The runs of a request under which upstreams ended that came one after the
 * other, the first one first. Runs that were under way at the same moment count
 * as one: VMs that are reclaimed together end under all that is there, and a
 * request that many callers send is at many of them.
 */
export function successiveRuns(runs: readonly CrashedRun[]): CrashedRun[] {
  const byEnd = [...runs].sort((left, right) => left.endedAt - right.endedAt);
  const successive: CrashedRun[] = [];
  let lastEnd = -Infinity;
  for (const run of byEnd) {
    const { sentAt, endedAt } = run;
    const isLater = sentAt >= lastEnd - SKEW && endedAt >= lastEnd + APART;
    const isAfter = sentAt >= lastEnd && endedAt >= lastEnd + APART_AFTER_END;
    if (isLater || isAfter) {
      successive.push(run);
      lastEnd = endedAt;
    }
  }
  return successive;
}
