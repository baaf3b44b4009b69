import type { Milliseconds } from "@heroncleat/base";
import type { Disconnect } from "./disconnect.ts";
import { PeerConnection } from "./peer_connection.ts";

type PeerPoolOptions = {
  readonly secret: string;
  readonly connectTimeout: Milliseconds;
  /** Local address to connect from; empty for any. */
  readonly localHost: string;
  /** Called if a connection ends while the pool is open. */
  readonly onDisconnect?: (disconnect: Disconnect) => void;
  /** Called with a message for the log when a message can't be sent. */
  readonly onProblem?: (message: string) => void;
};

/**
 * Keeps one connection to each process that is called, opened on first use.
 * Calls aren't retried, as only the caller can tell whether a retry is safe.
 *
 * @public
 * @example
 * const reply = await pool.call(address, "hub.sync", { parameters, timeout });
 */
export class PeerPool {
  readonly #options: PeerPoolOptions;
  readonly #connections = new Map<string, PeerConnection>();
  #isClosed = false;

  constructor(options: PeerPoolOptions) {
    this.#options = options;
  }

  /** Calls a method; rejects on a timeout, a lost connection or an error. */
  async call(
    address: string,
    method: string,
    options: { parameters: unknown; timeout: Milliseconds },
  ): Promise<unknown> {
    return await this.#getConnection(address).call(method, options);
  }

  /**
   * Sends a message without a reply. It may be lost, and is dropped once the
   * pool is closed.
   */
  notify(address: string, method: string, parameters: unknown): void {
    if (this.#isClosed) {
      return;
    }
    try {
      this.#getConnection(address).notify(method, parameters);
    } catch (error) {
      const { message } = error as Error;
      this.#options.onProblem?.(`Can't connect to ${address}. ${message}`);
    }
  }

  close(): void {
    this.#isClosed = true;
    for (const connection of this.#connections.values()) {
      connection.close();
    }
  }

  #getConnection(address: string): PeerConnection {
    const existing = this.#connections.get(address);
    if (existing?.isOpen) {
      return existing;
    }
    if (this.#isClosed) {
      throw new Error("the peer pool is closed");
    }
    const connection = new PeerConnection({
      ...this.#options,
      address,
      onDisconnect: (disconnect) => {
        if (!this.#isClosed) {
          this.#options.onDisconnect?.(disconnect);
        }
      },
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
