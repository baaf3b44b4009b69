import type { Milliseconds } from "@heroncleat/base";
import { createFault, type Fault, unreachable } from "@heroncleat/base";
import type {
  CopyMessage,
  CopyReply,
  RequestRecord,
  TextPiece,
} from "@heroncleat/schema";
import { AttemptSequence } from "./attempt_sequence.ts";
import type { PendingCopy } from "./pending_copy.ts";
import type { RequestEffect } from "./request_effect.ts";
import type { RequestEvent } from "./request_event.ts";
import { StandbyMove } from "./standby_move.ts";
import { RequestPhase } from "./request_phase.ts";
import type { RequestSettings } from "./request_settings.ts";

/** Initial state: that of a new request, or that of a standby's copy. */
type InitialState = {
  readonly pieces: readonly TextPiece[];
  readonly finished: boolean;
  readonly finishReason: string;
  /** Whether another owner already accepted the request. */
  readonly accepted: boolean;
  readonly now: Milliseconds;
};

/** Maximum number of response tokens if the caller sets none. */
const DEFAULT_MAX_TOKENS = 1024;

/**
 * State machine of one request at its owner. A chunk of the response is emitted
 * only after the standby holds it, so a new owner continues exactly the text
 * that the caller has received.
 *
 * @public
 */
export class OwnedRequest {
  readonly #settings: RequestSettings;
  readonly #chunks: TextPiece[];
  readonly #deadlineAt: Milliseconds;
  readonly #attempts: AttemptSequence;
  #record: RequestRecord;
  #phase: typeof RequestPhase[keyof typeof RequestPhase];
  #isFinished: boolean;
  #finishReason: string;
  #emittedCount: number;
  /** Number of chunks that the standby holds. */
  #heldCount = 0;
  #isFinishHeld = false;
  #isComplete = false;
  #pendingCopy: PendingCopy | undefined;
  #lastCopyNumber = 0;
  #needsCompleteCopy = true;
  #standbyMove: typeof StandbyMove[keyof typeof StandbyMove] = StandbyMove.none;
  #standbyCandidate = "";
  /** Time of the next proposal to the ledger to move the standby. */
  #retryMoveAt: Milliseconds | undefined;
  /** Time by which the standby must have taken over. */
  #handOverDeadlineAt: Milliseconds | undefined;
  #effects: RequestEffect[] = [];

  constructor(
    record: RequestRecord,
    options: { settings: RequestSettings; start: InitialState },
  ) {
    const { settings, start } = options;
    this.#record = record;
    this.#settings = settings;
    this.#attempts = new AttemptSequence(
      settings,
      (effect) => this.#effects.push(effect),
    );
    this.#chunks = [...start.pieces];
    this.#emittedCount = start.accepted ? start.pieces.length : 0;
    this.#isFinished = start.finished;
    this.#finishReason = start.finishReason;
    this.#deadlineAt = start.now + record.deadline;
    this.#phase = start.accepted
      ? RequestPhase.running
      : RequestPhase.accepting;
  }

  get record(): RequestRecord {
    return this.#record;
  }

  get phase(): typeof RequestPhase[keyof typeof RequestPhase] {
    return this.#phase;
  }

  /**
   * Whether the complete response may be read here. A fenced owner may have
   * received the end from its upstream while its standby has acknowledged only
   * a part.
   */
  get isComplete(): boolean {
    return this.#isComplete;
  }

  get finishReason(): string {
    return this.#finishReason;
  }

  /** Upstream of the last attempt; empty before the first. */
  get upstream(): string {
    return this.#attempts.lastUpstream;
  }

  get attempts(): number {
    return this.#attempts.count;
  }

  /** Chunks dropped because of an unexpected attempt or position. */
  get droppedChunks(): number {
    return this.#attempts.droppedChunks;
  }

  /** Time of the next tick that is needed, on the clock of `now`. */
  get wakeAt(): Milliseconds {
    if (this.#phase === RequestPhase.ended) {
      return Infinity;
    }
    const { copyTimeout } = this.#settings;
    return Math.min(
      this.#deadlineAt,
      (this.#pendingCopy?.sentAt ?? Infinity) + copyTimeout,
      this.#retryMoveAt ?? Infinity,
      this.#handOverDeadlineAt ?? Infinity,
      this.#attempts.wakeAt,
    );
  }

  /** Returns the emitted chunks from an index on. */
  emittedFrom(index: number): readonly TextPiece[] {
    return this.#chunks.slice(index, this.#emittedCount);
  }

  /** Pieces received so far, also those that may not be emitted yet. */
  get receivedCount(): number {
    return this.#chunks.length;
  }

  get emittedCount(): number {
    return this.#emittedCount;
  }

  /** Handles an event and returns the effects to carry out. */
  handle(event: RequestEvent, now: Milliseconds): RequestEffect[] {
    this.#effects = [];
    if (this.#phase !== RequestPhase.ended) {
      this.#handleEvent(event, now);
    }
    return this.#effects;
  }

  #handleEvent(event: RequestEvent, now: Milliseconds): void {
    switch (event.kind) {
      case "start":
        this.#start(now);
        return;
      case "tick":
        this.#onTick(now);
        return;
      case "copy_answered":
        this.#onCopyReply(event, now);
        return;
      case "copy_failed":
        if (event.number === this.#pendingCopy?.number) {
          this.#onCopyFailed();
        }
        return;
      case "standby_chosen":
        this.#onStandbyChosen(event.standby, now);
        return;
      case "standby_moved":
        this.#onStandbyMoved(event, now);
        return;
      case "standby_kept":
        if (this.#standbyMove === StandbyMove.moving) {
          this.#retryMoveAt = now + this.#settings.retryDelay;
        }
        return;
      case "custody_lost":
        this.#onCustodyLost(event.owner);
        return;
      case "routed":
        this.#attempts.onRouted(event, { pieces: this.#chunks, now });
        return;
      case "unroutable":
        this.#attempts.onUnroutable(event.attempt, now);
        return;
      case "piece":
        this.#onChunk(event, now);
        return;
      case "attempt_finished":
        this.#onAttemptFinished(event, now);
        return;
      case "attempt_failed":
        if (this.#attempts.isCurrent(event.attempt)) {
          this.#abandonAttempt();
        }
        return;
      case "rejected":
        this.#fail("Several upstreams crashed while running the request.");
        return;
      case "upstream_leaving":
        this.#onUpstreamDeparture(event, now);
        return;
      case "hand_over":
        this.#startHandOver(now);
        return;
      case "hand_over_failed":
        this.#onHandOverFailed();
        return;
      default:
        unreachable(event);
    }
  }

  #start(now: Milliseconds): void {
    if (this.#phase === RequestPhase.running) {
      this.#startAsSuccessor(now);
      return;
    }
    if (this.#record.standby === "") {
      this.#onCopyHeld(now);
    } else {
      this.#sendCopy(now);
    }
  }

  /** Continues as the new owner, which may need a standby first. */
  #startAsSuccessor(now: Milliseconds): void {
    if (this.#record.standby === "") {
      this.#chooseStandby([]);
    } else {
      this.#sendCopy(now);
    }
    if (!this.#isFinished) {
      this.#route("");
    }
  }

  #onTick(now: Milliseconds): void {
    if (now >= this.#deadlineAt) {
      this.#fail("The deadline passed before the response was complete.");
      return;
    }
    if (
      this.#pendingCopy !== undefined &&
      this.#isCopyOverdue(this.#pendingCopy, now)
    ) {
      this.#onCopyFailed();
    }
    if (this.#retryMoveAt !== undefined && now >= this.#retryMoveAt) {
      this.#moveStandby();
    }
    if (
      this.#handOverDeadlineAt !== undefined && now >= this.#handOverDeadlineAt
    ) {
      this.#onHandOverFailed();
    }
    if (this.#attempts.isRouteDue(now)) {
      this.#route(this.#attempts.kvSourceAt(now));
    }
    if (this.#attempts.isOverdue(now)) {
      this.#attempts.cancel();
      this.#abandonAttempt();
    }
  }

  #isCopyOverdue(copy: PendingCopy, now: Milliseconds): boolean {
    return now - copy.sentAt >= this.#settings.copyTimeout;
  }

  /** Sends the standby what it lacks, unless a copy is pending. */
  #sendCopy(now: Milliseconds): void {
    const isMoveBlocking = this.#standbyMove === StandbyMove.choosing ||
      this.#standbyMove === StandbyMove.moving;
    if (this.#pendingCopy !== undefined || isMoveBlocking) {
      return;
    }
    this.#lastCopyNumber += 1;
    this.#pendingCopy = {
      number: this.#lastCopyNumber,
      endIndex: this.#chunks.length,
      finished: this.#isFinished,
      sentAt: now,
    };
    this.#effects.push({
      kind: "copy",
      number: this.#lastCopyNumber,
      to: this.#copyTarget(),
      message: this.#buildCopyMessage(now),
    });
  }

  #copyTarget(): string {
    return this.#standbyMove === StandbyMove.copying
      ? this.#standbyCandidate
      : this.#record.standby;
  }

  #buildCopyMessage(now: Milliseconds): CopyMessage {
    const isCopyingToCandidate = this.#standbyMove === StandbyMove.copying;
    const from = this.#needsCompleteCopy ? 0 : this.#heldCount;
    const message: CopyMessage = {
      id: this.#record.id,
      // The copy carries the epoch that the ledger assigns to the move.
      epoch: this.#record.epoch + (isCopyingToCandidate ? 1 : 0),
      from,
      pieces: this.#chunks.slice(from),
      finished: this.#isFinished,
      finishReason: this.#finishReason,
    };
    if (this.#needsCompleteCopy) {
      message.record = {
        ...this.#record,
        epoch: message.epoch,
        standby: this.#copyTarget(),
        deadline: Math.max(0, this.#deadlineAt - now),
      };
    }
    return message;
  }

  #onCopyReply(
    event: { number: number; reply: CopyReply },
    now: Milliseconds,
  ): void {
    const copy = this.#pendingCopy;
    if (copy === undefined || event.number !== copy.number) {
      return;
    }
    if (event.reply.outcome === "fenced") {
      this.#onFenced();
      return;
    }
    this.#pendingCopy = undefined;
    if (event.reply.outcome === "missing") {
      this.#needsCompleteCopy = true;
      this.#sendCopy(now);
      return;
    }
    this.#needsCompleteCopy = false;
    this.#heldCount = copy.endIndex;
    this.#isFinishHeld = copy.finished;
    if (this.#standbyMove === StandbyMove.copying) {
      this.#moveStandby();
    } else {
      this.#onCopyHeld(now);
    }
  }

  /** Proceeds after the standby, if there is one, holds the last copy. */
  #onCopyHeld(now: Milliseconds): void {
    if (this.#record.standby === "") {
      this.#heldCount = this.#chunks.length;
      this.#isFinishHeld = this.#isFinished;
    }
    if (this.#phase === RequestPhase.accepting) {
      this.#phase = RequestPhase.running;
      this.#effects.push({ kind: "accepted" });
      this.#route("");
    }
    this.#emitHeldChunks();
    if (this.#isFinishHeld) {
      this.#end({ kind: "finished", reason: this.#finishReason });
      return;
    }
    if (this.#heldCount < this.#chunks.length || this.#isFinished) {
      this.#sendCopy(now);
      return;
    }
    if (this.#phase === RequestPhase.handingOver) {
      this.#continueHandOver(now);
    }
  }

  #continueHandOver(now: Milliseconds): void {
    if (this.#record.standby !== "") {
      this.#requestTakeover(now);
    } else if (this.#standbyMove === StandbyMove.none) {
      this.#cancelHandOver();
    }
  }

  /** Continues the request here, since no other entry can take over. */
  #cancelHandOver(): void {
    this.#phase = RequestPhase.running;
    this.#route("");
  }

  /**
   * Requests a takeover by the standby, which holds the complete copy. This
   * entry stays the owner until the ledger names another one, since the standby
   * may fail during the takeover.
   */
  #requestTakeover(now: Milliseconds): void {
    if (this.#handOverDeadlineAt !== undefined) {
      return;
    }
    this.#handOverDeadlineAt = now + this.#settings.handOverTimeout;
    this.#effects.push({ kind: "hand_over", standby: this.#record.standby });
  }

  #onHandOverFailed(): void {
    this.#handOverDeadlineAt = undefined;
    if (this.#standbyMove === StandbyMove.none) {
      this.#chooseStandby([this.#record.standby]);
    }
  }

  #emitHeldChunks(): void {
    if (this.#heldCount > this.#emittedCount) {
      const pieces = this.#chunks.slice(this.#emittedCount, this.#heldCount);
      this.#emittedCount = this.#heldCount;
      this.#effects.push({ kind: "emit", pieces });
    }
  }

  /** The standby may hold the copy or not; the ledger decides who continues. */
  #onCopyFailed(): void {
    const entry = this.#copyTarget();
    this.#pendingCopy = undefined;
    if (this.#phase === RequestPhase.accepting) {
      this.#refuse(createFault(
        "no_standby",
        `Entry ${entry} didn't store the copy. Remedy: send the request again.`,
        { run: "unknown", retryAfter: this.#settings.copyTimeout },
      ));
      return;
    }
    this.#chooseStandby([entry]);
  }

  /**
   * The standby is or becomes the owner. Proposing a move that changes only the
   * epoch shows what the ledger has decided.
   */
  #onFenced(): void {
    if (this.#phase === RequestPhase.accepting) {
      this.#onCopyFailed();
      return;
    }
    this.#pendingCopy = undefined;
    this.#standbyCandidate = this.#record.standby;
    this.#moveStandby();
  }

  #chooseStandby(exclude: readonly string[]): void {
    this.#standbyMove = StandbyMove.choosing;
    this.#effects.push({ kind: "choose_standby", exclude });
  }

  /**
   * Sends the complete copy to the chosen entry before the ledger names it, so
   * that the standby named by the ledger always holds the request.
   */
  #onStandbyChosen(standby: string, now: Milliseconds): void {
    if (this.#standbyMove !== StandbyMove.choosing) {
      return;
    }
    this.#standbyCandidate = standby;
    if (standby !== "") {
      this.#standbyMove = StandbyMove.copying;
      this.#needsCompleteCopy = true;
      this.#sendCopy(now);
      return;
    }
    if (this.#phase === RequestPhase.handingOver) {
      this.#cancelHandOver();
    }
    this.#moveStandby();
  }

  #moveStandby(): void {
    this.#standbyMove = StandbyMove.moving;
    this.#retryMoveAt = undefined;
    this.#effects.push({
      kind: "move_standby",
      expectedEpoch: this.#record.epoch,
      standby: this.#standbyCandidate,
    });
  }

  #onStandbyMoved(
    event: { epoch: number; standby: string },
    now: Milliseconds,
  ): void {
    const { epoch, standby } = event;
    // A repeated proposal causes a repeated reply.
    if (
      this.#standbyMove !== StandbyMove.moving || epoch <= this.#record.epoch
    ) {
      return;
    }
    this.#standbyMove = StandbyMove.none;
    this.#retryMoveAt = undefined;
    this.#record = { ...this.#record, epoch, standby };
    this.#onCopyHeld(now);
  }

  #onCustodyLost(owner: string): void {
    this.#attempts.cancel();
    const isHandingOver = this.#phase === RequestPhase.handingOver;
    this.#end({ kind: isHandingOver ? "handed_over" : "fenced", owner });
  }

  #route(kvSource: string): void {
    if (this.#attempts.isExhausted) {
      this.#fail(`${this.#attempts.count} attempts failed.`);
      return;
    }
    this.#attempts.route(kvSource);
  }

  #onChunk(
    event: {
      attempt: number;
      position: number;
      piece: Pick<TextPiece, "text" | "tokens">;
    },
    now: Milliseconds,
  ): void {
    if (!this.#attempts.acceptChunk(event, now)) {
      return;
    }
    this.#chunks.push({ index: this.#chunks.length, ...event.piece });
    this.#replicate(now);
  }

  #onAttemptFinished(
    event: { attempt: number; pieces: number; reason: string },
    now: Milliseconds,
  ): void {
    switch (this.#attempts.onFinished(event)) {
      case "ignored":
        return;
      case "incomplete":
        this.#abandonAttempt();
        return;
      case "complete":
        this.#isFinished = true;
        this.#finishReason = event.reason;
        this.#replicate(now);
        return;
    }
  }

  #replicate(now: Milliseconds): void {
    if (this.#standbyMove !== StandbyMove.none) {
      // The chunks received during a move are sent when it completes.
      return;
    }
    if (this.#record.standby === "") {
      this.#onCopyHeld(now);
    } else {
      this.#sendCopy(now);
    }
  }

  #abandonAttempt(): void {
    this.#attempts.abandon();
    if (this.#phase === RequestPhase.running) {
      this.#route("");
    }
  }

  #onUpstreamDeparture(
    event: { upstream: string; reclaimIn: Milliseconds },
    now: Milliseconds,
  ): void {
    if (!this.#attempts.isRunningAt(event.upstream)) {
      return;
    }
    const responseTokens = this.#countResponseTokens();
    const kvSource = this.#attempts.onReclaim(event.reclaimIn, {
      contextTokens: this.#record.promptTokens + responseTokens,
      remainingTokens: Math.max(0, this.#maxTokens() - responseTokens),
      now,
    });
    if (kvSource !== undefined && this.#phase === RequestPhase.running) {
      this.#route(kvSource);
    }
  }

  #startHandOver(now: Milliseconds): void {
    if (this.#phase === RequestPhase.accepting) {
      this.#refuse(createFault(
        "leaving",
        "This entry is shutting down. Remedy: send the request to another one.",
        { run: "unknown", retryAfter: 0 },
      ));
      return;
    }
    if (this.#isFinished || this.#phase === RequestPhase.handingOver) {
      return;
    }
    this.#phase = RequestPhase.handingOver;
    this.#attempts.cancel();
    this.#attempts.clear();
    if (this.#standbyMove !== StandbyMove.none) {
      return;
    }
    if (this.#record.standby === "") {
      this.#chooseStandby([]);
    } else {
      this.#sendCopy(now);
    }
  }

  /**
   * Refuses the request. The standby may hold an unacknowledged copy, so it is
   * sent a finished one. That message may be lost, so the fault must not claim
   * that nothing was run.
   */
  #refuse(fault: Fault): void {
    if (this.#record.standby !== "") {
      this.#effects.push({
        kind: "copy",
        number: 0,
        to: this.#record.standby,
        message: {
          ...this.#buildCopyMessage(this.#deadlineAt),
          finished: true,
          finishReason: "refused",
        },
      });
    }
    this.#end({ kind: "refused", fault });
  }

  #fail(cause: string): void {
    this.#attempts.cancel();
    this.#end({
      kind: "failed",
      fault: createFault(
        "upstream_failed",
        `${cause} Remedy: send the request again with a later deadline.`,
        { run: "unknown" },
      ),
    });
  }

  #end(effect: RequestEffect): void {
    this.#phase = RequestPhase.ended;
    this.#isComplete = effect.kind === "finished";
    this.#attempts.clear();
    this.#effects.push(effect);
  }

  #countResponseTokens(): number {
    let tokens = 0;
    for (const chunk of this.#chunks) {
      tokens += chunk.tokens;
    }
    return tokens;
  }

  #maxTokens(): number {
    const body = JSON.parse(this.#record.body) as { max_tokens?: number };
    return body.max_tokens ?? DEFAULT_MAX_TOKENS;
  }
}
