import type { Milliseconds } from "@heroncleat/base";
import { PeerConnection } from "./peer_connection.ts";

/** What a pool is built from. */
type PeerPoolOptions = {
  readonly secret: string;
  readonly connectTimeout: Milliseconds;
  /** Own host that connections come from; empty for any. */
  readonly localHost: string;
};

/**
 * One connection to each other process that is called, opened when needed.
 * Nothing is retried: whoever calls knows whether it may be.
 *
 * @public
 * @example
 * const reply = await pool.call(address, "membership", { parameters, timeout });
 */
export class PeerPool {
  readonly #options: PeerPoolOptions;
  readonly #connections = new Map<string, PeerConnection>();
  #closed = false;

  constructor(options: PeerPoolOptions) {
    this.#options = options;
  }

  /** Calls a method; rejects on a timeout, a break or an error reply. */
  async call(
    address: string,
    method: string,
    options: { parameters: unknown; timeout: Milliseconds },
  ): Promise<unknown> {
    return await this.#connectionTo(address).call(method, options);
  }

  /**
   * Sends a message that has no answer; it may be lost, and is once the pool is
   * closed.
   */
  notify(address: string, method: string, parameters: unknown): void {
    if (this.#closed) {
      return;
    }
    this.#connectionTo(address).notify(method, parameters);
  }

  close(): void {
    this.#closed = true;
    for (const connection of this.#connections.values()) {
      connection.close();
    }
  }

  #connectionTo(address: string): PeerConnection {
    const known = this.#connections.get(address);
    if (known?.isOpen) {
      return known;
    }
    if (this.#closed) {
      throw new Error("the pool is closed");
    }
    const connection = new PeerConnection({
      ...this.#options,
      address,
      onClose: () => {
        if (this.#connections.get(address) === connection) {
          this.#connections.delete(address);
        }
      },
    });
    this.#connections.set(address, connection);
    return connection;
  }
}
