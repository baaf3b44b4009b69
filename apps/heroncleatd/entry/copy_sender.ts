import type { Milliseconds } from "@heroncleat/base";
import type { CopyMessage, CopyReply } from "@heroncleat/schema";
import type { PeerPool } from "@heroncleat/transport";

type QueuedCopy = {
  readonly message: CopyMessage;
  readonly resolve: (reply: CopyReply) => void;
  readonly reject: (error: unknown) => void;
};

/** Queued copies and the number of calls in flight for one entry. */
type Outbox = { queue: QueuedCopy[]; inFlight: number };

/** Limit per destination entry. */
const MAX_IN_FLIGHT_CALLS = 4;
const MAX_COPIES_PER_CALL = 256;

/**
 * Sends copies of requests to their standbys. Copies that queue up while calls
 * are in flight are batched into one call, which saves round trips under load.
 */
export class CopySender {
  readonly #pool: PeerPool;
  readonly #timeout: Milliseconds;
  readonly #outboxes = new Map<string, Outbox>();

  constructor(pool: PeerPool, timeout: Milliseconds) {
    this.#pool = pool;
    this.#timeout = timeout;
  }

  send(address: string, message: CopyMessage): Promise<CopyReply> {
    return new Promise((resolve, reject) => {
      let outbox = this.#outboxes.get(address);
      if (outbox === undefined) {
        outbox = { queue: [], inFlight: 0 };
        this.#outboxes.set(address, outbox);
      }
      outbox.queue.push({ message, resolve, reject });
      this.#flush(address, outbox);
    });
  }

  #flush(address: string, outbox: Outbox): void {
    if (outbox.queue.length === 0 || outbox.inFlight >= MAX_IN_FLIGHT_CALLS) {
      return;
    }
    const batch = outbox.queue.splice(0, MAX_COPIES_PER_CALL);
    outbox.inFlight += 1;
    void this.#call(address, batch).finally(() => {
      outbox.inFlight -= 1;
      this.#flush(address, outbox);
    });
  }

  async #call(address: string, batch: readonly QueuedCopy[]): Promise<void> {
    try {
      const replies = await this.#pool.call(address, "entry.copies", {
        parameters: { copies: batch.map((copy) => copy.message) },
        timeout: this.#timeout,
      }) as CopyReply[];
      for (const [index, copy] of batch.entries()) {
        copy.resolve(replies[index]!);
      }
    } catch (error) {
      for (const copy of batch) {
        copy.reject(error);
      }
    }
  }
}
