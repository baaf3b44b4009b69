import type { Milliseconds } from "@heroncleat/base";
import type { PeerPool } from "@heroncleat/transport";

/** What the sender is built from. */
type HandOverOptions = {
  readonly pool: PeerPool;
  readonly timeout: Milliseconds;
  readonly addressOf: (entry: string) => string | undefined;
};

/** A request that waits to be handed over. */
type Waiting = {
  readonly id: string;
  readonly resolve: (owner: string | undefined) => void;
};

/**
 * Asks standbys to take requests over. Those that one entry holds are asked
 * for together, so that the ledger decides about them in one command.
 */
export class HandOverSender {
  readonly #options: HandOverOptions;
  readonly #waiting = new Map<string, Waiting[]>();

  constructor(options: HandOverOptions) {
    this.#options = options;
  }

  /** The new owner, or nothing when the standby did not take over. */
  send(standby: string, id: string): Promise<string | undefined> {
    return new Promise((resolve) => {
      const waiting = this.#waiting.get(standby);
      if (waiting !== undefined) {
        waiting.push({ id, resolve });
        return;
      }
      this.#waiting.set(standby, [{ id, resolve }]);
      setImmediate(() => void this.#flush(standby));
    });
  }

  async #flush(standby: string): Promise<void> {
    const waiting = this.#waiting.get(standby) ?? [];
    this.#waiting.delete(standby);
    const ids = waiting.map(({ id }) => id);
    const taken = await this.#ask(standby, ids);
    for (const { id, resolve } of waiting) {
      resolve(taken.includes(id) ? standby : undefined);
    }
  }

  async #ask(standby: string, ids: string[]): Promise<string[]> {
    const address = this.#options.addressOf(standby);
    if (address === undefined) {
      return [];
    }
    try {
      return await this.#options.pool.call(address, "entry.take_over", {
        parameters: { ids },
        timeout: this.#options.timeout,
      }) as string[];
    } catch {
      return [];
    }
  }
}
