import type { Milliseconds } from "@heroncleat/base";
import type { VirtualTime } from "../virtual_time.ts";
import type { EntryDecisions } from "./entry_decisions.ts";
import type { EngineRun, LoadEngine } from "./load_engine.ts";
import type { OfferedRequest } from "./offered_request.ts";
import type { Outcome } from "./outcome.ts";
import type { PlayedFleet } from "./played_fleet.ts";

/**
 * A refused caller comes back if it is told to wait for at most this share of
 * its remaining time.
 */
const MAX_WAIT_SHARE = 1 / 3;

type CallOptions = {
  readonly time: VirtualTime;
  readonly fleet: PlayedFleet;
  /** Entries of the first and the second attempt. */
  readonly entries: readonly [EntryDecisions, EntryDecisions];
};

/** A request from its first attempt until its caller has a result. */
export class PlayedCall {
  /** The request of the last attempt. */
  request: OfferedRequest;
  readonly #options: CallOptions;
  #entry: EntryDecisions;
  #engine: LoadEngine | undefined;
  #run: EngineRun | undefined;
  #sentAt: Milliseconds = 0;
  #expected: Milliseconds = 0;
  #firstToken: Milliseconds | undefined;
  #estimateError: Milliseconds | undefined;
  #lastEventAt: Milliseconds = 0;
  #longestPause: Milliseconds = 0;
  #isRetry = false;
  #result: "complete" | "refused" | "lost" | undefined;

  constructor(request: OfferedRequest, options: CallOptions) {
    this.request = request;
    this.#options = options;
    this.#entry = options.entries[0];
    const { time } = options;
    time.schedule(() => this.#send(), request.arrivedAt);
    time.schedule(
      () => this.#giveUp(),
      request.arrivedAt + request.kind.timeBudget,
    );
  }

  /** Sends the request elsewhere if it is among those of lost engines. */
  resend(held: ReadonlySet<EngineRun>): void {
    if (this.#run === undefined || !held.has(this.#run)) {
      return;
    }
    this.#leaveEngine(false);
    this.#send();
  }

  outcome(): Outcome {
    return {
      request: this.request,
      kind: this.#outcomeKind(),
      firstToken: this.#firstToken,
      estimateError: this.#estimateError,
    };
  }

  #outcomeKind(): Outcome["kind"] {
    if (this.#result !== "complete") {
      return this.#result ?? "lost";
    }
    const { objective, maxPause } = this.request.kind;
    const isOnTime = this.#firstToken! <= objective &&
      this.#longestPause <= maxPause;
    return isOnTime ? "on_time" : "late";
  }

  #send(generatedTokens = this.#run?.generatedTokens ?? 0): void {
    const { time, fleet } = this.#options;
    const decision = this.#entry.decide(this.request, time.now);
    if (decision.kind === "refused") {
      this.#refuse(decision.retryAfter);
      return;
    }
    this.#sentAt = time.now;
    this.#expected = decision.expected;
    this.#engine = fleet.find(decision.upstream)!;
    this.#run = {
      request: this.request,
      onEvent: () => this.#receiveEvent(),
      onEnd: () => {
        this.#leaveEngine(true);
        this.#result = "complete";
      },
      prefillLeft: undefined,
      generatedTokens,
    };
    this.#engine.send(this.#run);
  }

  #refuse(retryAfter: Milliseconds): void {
    const { time, fleet, entries } = this.#options;
    fleet.refusedAt = time.now;
    const { arrivedAt, kind } = this.request;
    const timeLeft = arrivedAt + kind.timeBudget - time.now;
    const isStarted = this.#firstToken !== undefined;
    if (this.#isRetry || isStarted || retryAfter > timeLeft * MAX_WAIT_SHARE) {
      this.#result = isStarted ? "lost" : "refused";
      return;
    }
    this.#isRetry = true;
    this.#entry = entries[1];
    this.request = {
      ...this.request,
      attemptedAt: time.now + retryAfter,
    };
    time.schedule(() => this.#send(), retryAfter);
  }

  #receiveEvent(): void {
    const { now } = this.#options.time;
    if (this.#firstToken === undefined) {
      const took = now - this.#sentAt;
      this.#firstToken = now - this.request.arrivedAt;
      this.#estimateError = took - this.#expected;
      this.#entry.recordFirstToken(this.request, took, now);
    } else {
      this.#longestPause = Math.max(
        this.#longestPause,
        now - this.#lastEventAt,
      );
    }
    this.#lastEventAt = now;
  }

  #giveUp(): void {
    if (this.#result !== undefined) {
      return;
    }
    this.#result = "lost";
    if (this.#engine !== undefined) {
      this.#engine.cancel(this.#run!);
      this.#leaveEngine(false);
    }
  }

  #leaveEngine(isComplete: boolean): void {
    const { now } = this.#options.time;
    this.#entry.recordEnd(this.request, now, isComplete);
    this.#engine = undefined;
  }
}
