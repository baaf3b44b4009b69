import type { Milliseconds } from "@heroncleat/base";
import type { ReceivedRun } from "./received_run.ts";
import type { RequestOutcome } from "./soak_caller.ts";
import { wasTakenAfter } from "./was_taken_after.ts";

/** Counts what became of attempts at entries that stop. */
export class StopCounts {
  /** Attempts that were first sent to an upstream after the signal. */
  taken = 0;
  /** Those of them that had no whole answer, at sound upstreams. */
  cut = 0;
  /** Attempts that came after the signal and were refused by 503. */
  refused = 0;
  /** Attempts that ended without a status and reached no upstream. */
  unanswered = 0;
  /** Attempts taken before the signal that had no whole answer. */
  outlasted = 0;

  /**
   * @param run The last run of the attempt; undefined without any.
   * @param signals When the entries that it went through were told to stop.
   */
  record(
    { status, isWhole, hasConnected, sentAt }: RequestOutcome,
    { run, signals }: {
      run: ReceivedRun | undefined;
      signals: readonly Milliseconds[];
    },
  ): void {
    if (signals.length === 0) {
      return;
    }
    if (run === undefined) {
      const isRefused = status === 503 && signals.some((at) => at <= sentAt);
      this.refused += isRefused ? 1 : 0;
      this.unanswered += status === 0 && hasConnected ? 1 : 0;
      return;
    }
    const isCut = !isWhole && run.end !== undefined;
    if (signals.some((at) => wasTakenAfter(run, at))) {
      this.taken += 1;
      this.cut += isCut ? 1 : 0;
    } else {
      this.outlasted += isCut ? 1 : 0;
    }
  }
}
