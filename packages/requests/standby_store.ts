import type { Milliseconds } from "@heroncleat/base";
import type {
  CopyMessage,
  CopyReply,
  CustodyOutcome,
  RequestRecord,
} from "@heroncleat/schema";
import type { StandbyCopy } from "./standby_copy.ts";

/**
 * The copies of requests that an entry holds as their standby.
 *
 * @public
 */
export class StandbyStore {
  readonly #self: string;
  readonly #retention: Milliseconds;
  readonly #copies = new Map<string, StandbyCopy>();

  constructor(self: string, retention: Milliseconds) {
    this.#self = self;
    this.#retention = retention;
  }

  get size(): number {
    return this.#copies.size;
  }

  get(id: string): StandbyCopy | undefined {
    return this.#copies.get(id);
  }

  /** Applies a copy message from the owner. */
  applyCopy(message: CopyMessage, now: Milliseconds): CopyReply {
    const copy = this.#copies.get(message.id);
    if (copy === undefined) {
      return this.#storeCompleteCopy(message, now);
    }
    if (copy.isTakingOver || message.epoch < copy.record.epoch) {
      return buildReply("fenced", copy);
    }
    if (message.record !== undefined) {
      // A complete copy replaces what an earlier owner sent.
      this.#copies.delete(message.id);
      return this.#storeCompleteCopy(message, now);
    }
    const hasGap = message.from > copy.pieces.length;
    if (hasGap || message.epoch !== copy.record.epoch) {
      return buildReply("missing", copy);
    }
    for (const piece of message.pieces) {
      copy.pieces[piece.index] ??= piece;
    }
    copy.finished = message.finished;
    copy.finishReason = message.finishReason;
    copy.lastUpdateAt = now;
    return buildReply("held", copy);
  }

  /** The unfinished requests of an owner that this entry is to take over. */
  unfinishedCopiesOf(owner: string): StandbyCopy[] {
    return [...this.#copies.values()].filter((copy) =>
      copy.record.owner === owner && copy.record.standby === this.#self &&
      !copy.finished
    );
  }

  /** Marks copies as being taken over, so that the owner is fenced. */
  startTakeOver(copies: readonly StandbyCopy[]): void {
    for (const copy of copies) {
      copy.isTakingOver = true;
    }
  }

  /** Accepts updates from the owner again; the ledger wasn't reachable. */
  cancelTakeOver(copies: readonly StandbyCopy[]): void {
    for (const copy of copies) {
      copy.isTakingOver = false;
    }
  }

  /**
   * Completes a takeover. Returns the copy if this entry is now the owner, or
   * undefined if the ledger decided otherwise.
   */
  finishTakeOver(outcome: CustodyOutcome): StandbyCopy | undefined {
    const copy = this.#copies.get(outcome.request);
    if (copy === undefined) {
      return undefined;
    }
    if (outcome.moved && outcome.owner === this.#self) {
      this.#copies.delete(outcome.request);
      copy.isTakingOver = false;
      copy.record = { ...copy.record, ...custodyOf(outcome) };
      return copy;
    }
    this.#keepUnlessReplaced(copy, outcome);
    return undefined;
  }

  /**
   * Drops a copy only if its owner was replaced. A copy that arrived before the
   * ledger's decision may still be the valid one.
   */
  #keepUnlessReplaced(copy: StandbyCopy, outcome: CustodyOutcome): void {
    copy.isTakingOver = false;
    if (outcome.standby === this.#self) {
      copy.record = { ...copy.record, ...custodyOf(outcome) };
      return;
    }
    if (outcome.owner !== copy.record.owner) {
      this.#copies.delete(outcome.request);
    }
  }

  remove(id: string): void {
    this.#copies.delete(id);
  }

  /**
   * Removes finished copies after the retention, and unfinished ones when the
   * retention has passed since their deadline.
   */
  expire(now: Milliseconds): void {
    for (const [id, copy] of this.#copies) {
      const retainedSince = copy.finished ? copy.lastUpdateAt : copy.deadlineAt;
      if (now - retainedSince > this.#retention) {
        this.#copies.delete(id);
      }
    }
  }

  #storeCompleteCopy(message: CopyMessage, now: Milliseconds): CopyReply {
    if (message.record === undefined || message.from !== 0) {
      return { outcome: "missing", epoch: message.epoch, pieces: 0 };
    }
    const copy: StandbyCopy = {
      record: message.record,
      pieces: [...message.pieces],
      finished: message.finished,
      finishReason: message.finishReason,
      deadlineAt: now + message.record.deadline,
      lastUpdateAt: now,
      isTakingOver: false,
    };
    this.#copies.set(message.id, copy);
    return buildReply("held", copy);
  }
}

function custodyOf(
  outcome: CustodyOutcome,
): Pick<RequestRecord, "epoch" | "owner" | "standby"> {
  const { epoch, owner, standby } = outcome;
  return { epoch, owner, standby };
}

function buildReply(
  outcome: CopyReply["outcome"],
  copy: StandbyCopy,
): CopyReply {
  return { outcome, epoch: copy.record.epoch, pieces: copy.pieces.length };
}
