import type { Milliseconds } from "@heroncleat/base";
import type {
  CopyMessage,
  CopyReply,
  CustodyOutcome,
  RequestRecord,
} from "@heroncleat/schema";
import type { StandbyCopy } from "./standby_copy.ts";

/**
 * The copies an entry holds for other owners.
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

  /** Takes a copy from the owner. */
  applyCopy(message: CopyMessage, now: Milliseconds): CopyReply {
    const known = this.#copies.get(message.id);
    if (known === undefined) {
      return this.#takeFirst(message, now);
    }
    if (known.isTakingOver || message.epoch < known.record.epoch) {
      return reply("fenced", known);
    }
    if (message.record !== undefined) {
      // A whole copy replaces what is left of an earlier owner's.
      this.#copies.delete(message.id);
      return this.#takeFirst(message, now);
    }
    const gap = message.from > known.pieces.length;
    if (gap || message.epoch !== known.record.epoch) {
      return reply("missing", known);
    }
    for (const piece of message.pieces) {
      known.pieces[piece.index] ??= piece;
    }
    known.finished = message.finished;
    known.finishReason = message.finishReason;
    known.lastUpdateAt = now;
    return reply("held", known);
  }

  /** Unfinished requests of an owner, which this entry should take over. */
  unfinishedCopiesOf(owner: string): StandbyCopy[] {
    return [...this.#copies.values()].filter((copy) =>
      copy.record.owner === owner && copy.record.standby === this.#self &&
      !copy.finished
    );
  }

  /** From now on the owner's copies are refused. */
  startTakeOver(copies: readonly StandbyCopy[]): void {
    for (const copy of copies) {
      copy.isTakingOver = true;
    }
  }

  /** The ledger could not be asked; the owner may go on for now. */
  cancelTakeOver(copies: readonly StandbyCopy[]): void {
    for (const copy of copies) {
      copy.isTakingOver = false;
    }
  }

  /**
   * Ends a takeover. Returns the copy that this entry owns now, or nothing
   * when the ledger decided otherwise.
   */
  finishTakeOver(outcome: CustodyOutcome): StandbyCopy | undefined {
    const copy = this.#copies.get(outcome.request);
    if (copy === undefined) {
      return undefined;
    }
    if (outcome.moved && outcome.owner === this.#self) {
      this.#copies.delete(outcome.request);
      copy.isTakingOver = false;
      copy.record = { ...copy.record, ...holdersOf(outcome) };
      return copy;
    }
    this.#keepUnlessReplaced(copy, outcome);
    return undefined;
  }

  /**
   * A copy that arrived ahead of the ledger's word may yet be the one that
   * counts, so only a copy whose owner was replaced is dropped.
   */
  #keepUnlessReplaced(copy: StandbyCopy, outcome: CustodyOutcome): void {
    copy.isTakingOver = false;
    if (outcome.standby === this.#self) {
      copy.record = { ...copy.record, ...holdersOf(outcome) };
      return;
    }
    if (outcome.owner !== copy.record.owner) {
      this.#copies.delete(outcome.request);
    }
  }

  remove(id: string): void {
    this.#copies.delete(id);
  }

  /** Forgets finished copies after their retention, and overdue ones. */
  expire(now: Milliseconds): void {
    for (const [id, copy] of this.#copies) {
      const since = copy.finished ? copy.lastUpdateAt : copy.deadlineAt;
      if (now - since > this.#retention) {
        this.#copies.delete(id);
      }
    }
  }

  #takeFirst(message: CopyMessage, now: Milliseconds): CopyReply {
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
    return reply("held", copy);
  }
}

function holdersOf(
  outcome: CustodyOutcome,
): Pick<RequestRecord, "epoch" | "owner" | "standby"> {
  const { epoch, owner, standby } = outcome;
  return { epoch, owner, standby };
}

function reply(
  outcome: CopyReply["outcome"],
  copy: StandbyCopy,
): CopyReply {
  return { outcome, epoch: copy.record.epoch, pieces: copy.pieces.length };
}
