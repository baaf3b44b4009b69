import type { Milliseconds } from "@heroncleat/base";
import type { PeerPool } from "@heroncleat/transport";

type HandOverOptions = {
  readonly pool: PeerPool;
  readonly timeout: Milliseconds;
  readonly addressOf: (entry: string) => string | undefined;
};

type PendingHandOver = {
  readonly id: string;
  readonly resolve: (owner: string | undefined) => void;
};

/**
 * Asks standbys to take over requests. Requests with the same standby are
 * batched into one call, so that the ledger decides about them in one command.
 */
export class HandOverSender {
  readonly #options: HandOverOptions;
  readonly #pending = new Map<string, PendingHandOver[]>();

  constructor(options: HandOverOptions) {
    this.#options = options;
  }

  /** Returns the new owner, or `undefined` if the standby did not take over. */
  send(standby: string, id: string): Promise<string | undefined> {
    return new Promise((resolve) => {
      const pending = this.#pending.get(standby);
      if (pending !== undefined) {
        pending.push({ id, resolve });
        return;
      }
      this.#pending.set(standby, [{ id, resolve }]);
      setImmediate(() => void this.#flush(standby));
    });
  }

  async #flush(standby: string): Promise<void> {
    const pending = this.#pending.get(standby) ?? [];
    this.#pending.delete(standby);
    const ids = pending.map(({ id }) => id);
    const takenOver = await this.#requestTakeOver(standby, ids);
    for (const { id, resolve } of pending) {
      resolve(takenOver.includes(id) ? standby : undefined);
    }
  }

  async #requestTakeOver(standby: string, ids: string[]): Promise<string[]> {
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
