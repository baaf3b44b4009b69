import type { Milliseconds } from "@heroncleat/base";
import { gracePeriod } from "./grace_period.ts";
import { pause } from "./pause.ts";
import type { ReceivedRequest } from "./received_request.ts";
import type { ReceivedRun } from "./received_run.ts";
import type { RequestOutcome } from "./soak_caller.ts";
import type { StopLog } from "./stop_log.ts";
import { StopCounts } from "./stop_counts.ts";
import { wasTakenAfter } from "./was_taken_after.ts";

/** Time within which both ends of a cut request are seen. */
const SETTLE_TIME: Milliseconds = 500;
/** Share of a request's time from which on its deadline may have cut it. */
const LATE_SHARE = 0.9;
/** Time in which a response is passed on. */
const DELIVERY_TIME: Milliseconds = 100;
/** Time before the end of its grace period from which on an entry exits. */
const EXIT_TIME: Milliseconds = 300;

type RunCheckOptions = {
  /** Time in which a route's requests must be answered. */
  readonly timeout: () => Milliseconds;
  /** Whether a host and its links to upstreams were undisturbed at a time. */
  readonly wasUndisturbed: (host: string, at: Milliseconds) => boolean;
  /** Whether upstreams were silent for long at some time between two. */
  readonly wereSilent: (from: Milliseconds, to: Milliseconds) => boolean;
  /** When a change of the configuration was last sent. */
  readonly changedAt: () => Milliseconds;
  readonly findSignal: StopLog["findSignal"];
  readonly report: (text: string) => void;
};

/**
 * Checks that a run ends whole at its caller while its upstream is sound and
 * still delivers, whatever is reported or configured meanwhile. A request that
 * goes through an entry that stops must end whole, also after its upstream has
 * delivered, unless it was taken before the signal and its upstream is at work
 * until the grace period ends.
 */
export class RunChecks {
  readonly #options: RunCheckOptions;
  /** Run of each attempt that counts: the last one, or one that was cut. */
  readonly #runs = new Map<string, ReceivedRun>();
  /** Runs that were cut at sound upstreams, for whatever reason. */
  closed = 0;
  readonly besideStops = new StopCounts();

  constructor(options: RunCheckOptions) {
    this.#options = options;
  }

  /** Records a run; only how the last one of an attempt ends counts. */
  recordRun(received: ReceivedRequest): void {
    const { attempt, at } = received;
    const firstAt = this.#runs.get(attempt)?.firstAt ?? at;
    this.#runs.set(attempt, { ...received, firstAt });
  }

  /** Records that an upstream at work on a request lost its connection. */
  recordCut(received: ReceivedRequest): void {
    this.#recordEnd(received, "cut");
    this.closed += 1;
  }

  /** Records that an upstream has sent the whole response to a request. */
  recordCompletion(received: ReceivedRequest): void {
    if (this.#runs.get(received.attempt)?.end === undefined) {
      this.#recordEnd(received, "complete");
    }
  }

  #recordEnd(received: ReceivedRequest, kind: "cut" | "complete"): void {
    const { attempt, at } = received;
    const firstAt = this.#runs.get(attempt)?.firstAt ?? at;
    const end = { kind, at: performance.now() };
    this.#runs.set(attempt, { ...received, firstAt, end });
  }

  async recordOutcome(outcome: RequestOutcome): Promise<void> {
    const { attempt, entry, sentAt, status, isWhole, timeLeft } = outcome;
    const { timeout, wasUndisturbed, wereSilent, changedAt, report } =
      this.#options;
    const endedAt = performance.now();
    const host = entry.split(":")[0]!;
    const time = Math.min(timeLeft, timeout());
    const isLate = endedAt > sentAt + time * LATE_SHARE;
    const changeAge = Math.round(endedAt - changedAt());
    if (!isWhole && !isLate) {
      await pause(SETTLE_TIME);
    }
    const run = this.#runs.get(attempt);
    const signals = [...new Set([host, run?.from ?? host])].flatMap((via) =>
      this.#options.findSignal(via, { from: sentAt, to: endedAt }) ?? []
    );
    this.besideStops.record(outcome, { run, signals });
    if (isWhole || isLate || !isOwed(run, { signals, endedAt })) {
      return;
    }
    const isDue = !wereSilent(sentAt, endedAt) &&
      wasUndisturbed(host, endedAt) && wasUndisturbed(run.from, endedAt);
    if (isDue) {
      const since = (at: Milliseconds) => Math.round(endedAt - at);
      report(
        `${attempt} to ${entry} ended with ${status} after ` +
          `${since(sentAt)} ms, while its run of ${run.target} at ` +
          `${run.upstream}, sent by ${run.from} ${since(run.at)} ms before, ` +
          (run.end?.kind === "complete"
            ? `was complete ${since(run.end.at)} ms before`
            : "went on") +
          `; the configuration was last changed ${changeAge} ms before` +
          signals.map((at) =>
            `; its entry was told to stop ${since(at)} ms before, the first ` +
            `run began ${Math.round(run.firstAt - at)} ms after that`
          ).join(""),
      );
    }
  }
}

/** Whether a request must have ended whole, by its last run. */
function isOwed(
  run: ReceivedRun | undefined,
  { signals, endedAt }: {
    /** When the entries that it went through were told to stop. */
    signals: readonly Milliseconds[];
    endedAt: Milliseconds;
  },
): run is ReceivedRun {
  if (run?.end === undefined) {
    return false;
  }
  if (run.end.kind === "complete") {
    return signals.length > 0 && run.end.at <= endedAt - DELIVERY_TIME;
  }
  return !signals.some((at) =>
    !wasTakenAfter(run, at) &&
    endedAt >= at + gracePeriod - EXIT_TIME
  );
}
