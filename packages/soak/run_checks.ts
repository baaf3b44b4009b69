import type { Milliseconds } from "@heroncleat/base";
import { pause } from "./pause.ts";
import type { ReceivedRequest } from "./received_request.ts";
import type { RequestOutcome } from "./soak_caller.ts";

/** Time within which both ends of a cut request are seen. */
const SETTLE_TIME: Milliseconds = 500;
/** Share of a request's time from which on its deadline may have cut it. */
const LATE_SHARE = 0.9;

type RunCheckOptions = {
  /** Time in which a route's requests must be answered. */
  readonly timeout: () => Milliseconds;
  /** Whether a host and its links to upstreams were undisturbed at a time. */
  readonly wasUndisturbed: (host: string, at: Milliseconds) => boolean;
  /** Whether upstreams were silent for long at some time between two. */
  readonly wereSilent: (from: Milliseconds, to: Milliseconds) => boolean;
  /** When a change of the configuration was last sent. */
  readonly changedAt: () => Milliseconds;
  readonly report: (text: string) => void;
};

/**
 * Checks that a run ends whole at its caller while its upstream is sound and
 * still delivers, whatever is reported or configured meanwhile.
 */
export class RunChecks {
  readonly #options: RunCheckOptions;
  /** Last run of an attempt that was closed from outside, by attempt. */
  readonly #cutRuns = new Map<string, ReceivedRequest>();
  /** Runs that were cut at sound upstreams, for whatever reason. */
  closed = 0;

  constructor(options: RunCheckOptions) {
    this.#options = options;
  }

  /** Records a run; only how the last one of an attempt ends counts. */
  recordRun({ attempt }: ReceivedRequest): void {
    this.#cutRuns.delete(attempt);
  }

  /** Records that an upstream at work on a request lost its connection. */
  recordCut(received: ReceivedRequest): void {
    this.#cutRuns.set(received.attempt, received);
    this.closed += 1;
  }

  async recordOutcome(outcome: RequestOutcome): Promise<void> {
    const { attempt, entry, sentAt, status, timeLeft } = outcome;
    const { timeout, wasUndisturbed, wereSilent, changedAt, report } =
      this.#options;
    const endedAt = performance.now();
    const time = Math.min(timeLeft, timeout());
    const isLate = endedAt > sentAt + time * LATE_SHARE;
    if (status === 200 || isLate) {
      return;
    }
    const changeAge = Math.round(endedAt - changedAt());
    await pause(SETTLE_TIME);
    const run = this.#cutRuns.get(attempt);
    const isOwed = run !== undefined && !wereSilent(sentAt, endedAt) &&
      wasUndisturbed(entry.split(":")[0]!, endedAt) &&
      wasUndisturbed(run.from, endedAt);
    if (isOwed) {
      report(
        `${attempt} to ${entry} ended with ${status} after ` +
          `${Math.round(endedAt - sentAt)} ms, while its run at ` +
          `${run.upstream}, sent by ${run.from} ` +
          `${Math.round(endedAt - run.at)} ms before, went on; the ` +
          `configuration was last changed ${changeAge} ms before`,
      );
    }
  }
}
