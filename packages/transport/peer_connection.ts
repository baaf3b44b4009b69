import { connect } from "node:net";
import { createToken, type Milliseconds, splitAddress } from "@heroncleat/base";
import { JSONRPCClient } from "json-rpc-2.0";
import { CHECK_METHOD } from "./check_method.ts";
import { FramedSocket } from "./framed_socket.ts";
import { handshake } from "./handshake.ts";

/** Pause between two checks of a connection in use. */
const CHECK_INTERVAL: Milliseconds = 400;
/** Silence after a check that means the path is gone. */
const CHECK_TIMEOUT: Milliseconds = 1000;

/** What a connection is built from. */
type ConnectionOptions = {
  readonly address: string;
  readonly secret: string;
  readonly connectTimeout: Milliseconds;
  /** Own host that connections come from; empty for any. */
  readonly localHost: string;
  readonly onClose: () => void;
};

/**
 * One connection to another process, opened on creation.
 *
 * @internal
 */
export class PeerConnection {
  readonly #options: ConnectionOptions;
  readonly #client: JSONRPCClient;
  readonly #framed: FramedSocket;
  readonly #clientNonce = createToken();
  /** Messages that wait for the handshake. */
  #waiting: unknown[] | undefined = [];
  #serverNonce = "";
  #checkedAt = 0;
  #isChecking = false;

  constructor(options: ConnectionOptions) {
    this.#options = options;
    this.#client = new JSONRPCClient((message) => this.#send(message));
    const { host, port } = splitAddress(options.address);
    const { localHost } = options;
    const socket = localHost === ""
      ? connect({ host, port })
      : connect({ host, port, localAddress: localHost });
    this.#framed = new FramedSocket(socket, {
      onMessage: (message) => this.#onHandshake(message),
      onClose: (reason) => this.#onClose(reason),
    });
    const timer = setTimeout(() => {
      if (this.#waiting !== undefined) {
        this.#framed.close("connecting took too long");
      }
    }, options.connectTimeout);
    timer.unref();
  }

  get isOpen(): boolean {
    return this.#framed.isOpen;
  }

  async call(
    method: string,
    options: { parameters: unknown; timeout: Milliseconds },
  ): Promise<unknown> {
    const startedAt = performance.now();
    try {
      return await this.#client.timeout(options.timeout).request(
        method,
        options.parameters as object,
      );
    } catch (error) {
      if (this.#framed.heardAt < startedAt) {
        this.#framed.close("the peer doesn't answer");
      }
      throw error;
    }
  }

  notify(method: string, parameters: unknown): void {
    this.#client.notify(method, parameters as object);
    void this.#check();
  }

  /**
   * A path that is cut keeps its connection open, and bytes sent meanwhile
   * wait for ever longer after it is back. A peer that doesn't answer a check
   * in time loses the connection, so that the next message opens a new one.
   */
  async #check(): Promise<void> {
    const now = performance.now();
    if (this.#isChecking || now - this.#checkedAt < CHECK_INTERVAL) {
      return;
    }
    this.#isChecking = true;
    this.#checkedAt = now;
    try {
      await this.call(CHECK_METHOD, { parameters: {}, timeout: CHECK_TIMEOUT });
    } catch {
      // The call has closed the connection if the peer was silent.
    } finally {
      this.#isChecking = false;
    }
  }

  close(): void {
    this.#framed.close("this process closed the connection");
  }

  #send(message: unknown): void {
    if (!this.#framed.isOpen) {
      throw new Error("the connection is closed");
    }
    if (this.#waiting === undefined) {
      this.#framed.send(message);
    } else {
      this.#waiting.push(message);
    }
  }

  #onHandshake(message: unknown): void {
    const { secret } = this.#options;
    const fields = (message ?? {}) as Record<string, unknown>;
    if (this.#serverNonce === "") {
      this.#serverNonce = String(fields["nonce"]);
      const proof = handshake.prove(secret, {
        side: "client",
        ...this.#nonces(),
      });
      this.#framed.send({ nonce: this.#clientNonce, proof });
      return;
    }
    const proof = fields["proof"];
    const known = handshake.verify(secret, {
      side: "server",
      ...this.#nonces(),
      proof,
    });
    if (!known) {
      this.#framed.close("the peer doesn't know the shared secret");
      return;
    }
    this.#startSending();
  }

  #nonces(): { clientNonce: string; serverNonce: string } {
    return { clientNonce: this.#clientNonce, serverNonce: this.#serverNonce };
  }

  #startSending(): void {
    this.#framed.handleWith({
      onMessage: (message) => this.#client.receive(message as never),
      onClose: (reason) => this.#onClose(reason),
    });
    const waiting = this.#waiting ?? [];
    this.#waiting = undefined;
    for (const message of waiting) {
      this.#framed.send(message);
    }
  }

  #onClose(reason: string): void {
    this.#client.rejectAllPendingRequests(reason);
    this.#options.onClose();
  }
}
