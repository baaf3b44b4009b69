import { connect } from "node:net";
import { createToken, type Milliseconds, splitAddress } from "@heroncleat/base";
import { JSONRPCClient } from "json-rpc-2.0";
import { CONNECTION_CHECK_METHOD } from "./connection_check_method.ts";
import type { Disconnect } from "./disconnect.ts";
import { FramedSocket } from "./framed_socket.ts";
import { handshake } from "./handshake.ts";

/** Minimum interval between checks of a connection in use. */
const CHECK_INTERVAL: Milliseconds = 400;
const CHECK_TIMEOUT: Milliseconds = 1000;
/** Timers may fire early by this much. */
const TIMER_PRECISION: Milliseconds = 2;

type ConnectionOptions = {
  readonly address: string;
  readonly secret: string;
  readonly connectTimeout: Milliseconds;
  /** Local address to connect from; empty for any. */
  readonly localHost: string;
  readonly onClose: () => void;
  /** Called if a connection ends after its handshake. */
  readonly onDisconnect?: ((disconnect: Disconnect) => void) | undefined;
  /** Called if a message can't be sent; a notification has no other result. */
  readonly onProblem?: (message: string) => void;
};

/**
 * A client connection to another process, opened on creation.
 *
 * @internal
 */
export class PeerConnection {
  readonly #options: ConnectionOptions;
  readonly #client: JSONRPCClient;
  readonly #framed: FramedSocket;
  readonly #clientNonce = createToken();
  /** Messages queued until the handshake completes; undefined afterwards. */
  #queued: unknown[] | undefined = [];
  #serverNonce = "";
  #lastCheckAt = 0;
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
      onClose: (end) => this.#onClose(end),
    }, { maxPayloadBytes: handshake.maxPayloadBytes });
    const timer = setTimeout(() => {
      if (this.#queued !== undefined) {
        this.#framed.close("connecting timed out");
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
      const hasTimedOut =
        performance.now() - startedAt >= options.timeout - TIMER_PRECISION;
      if (hasTimedOut && this.#framed.lastReceivedAt < startedAt) {
        this.#framed.close("the peer did not respond");
      }
      throw error;
    }
  }

  notify(method: string, parameters: unknown): void {
    this.#client.notify(method, parameters as object);
    void this.#check();
  }

  /**
   * Closes the connection to a peer that doesn't respond in time. After a network
   * failure TCP would delay queued bytes by its backoff, also once the network has
   * recovered.
   */
  async #check(): Promise<void> {
    const now = performance.now();
    if (this.#isChecking || now - this.#lastCheckAt < CHECK_INTERVAL) {
      return;
    }
    this.#isChecking = true;
    this.#lastCheckAt = now;
    try {
      await this.call(CONNECTION_CHECK_METHOD, {
        parameters: {},
        timeout: CHECK_TIMEOUT,
      });
    } catch {
      // `call` has already closed the connection if the peer is unresponsive.
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
    if (this.#queued === undefined) {
      this.#sendNow(message);
    } else {
      this.#queued.push(message);
    }
  }

  #sendNow(message: unknown): void {
    try {
      this.#framed.send(message);
    } catch (error) {
      this.#options.onProblem?.(`Can't send. ${(error as Error).message}`);
      throw error;
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
    const isVerified = handshake.verify(secret, {
      side: "server",
      ...this.#nonces(),
      proof,
    });
    if (!isVerified) {
      this.#framed.close("the peer's proof of the shared secret is invalid");
      return;
    }
    this.#finishHandshake();
  }

  #nonces(): { clientNonce: string; serverNonce: string } {
    return { clientNonce: this.#clientNonce, serverNonce: this.#serverNonce };
  }

  #finishHandshake(): void {
    this.#framed.completeHandshake({
      onMessage: (message) => this.#client.receive(message as never),
      onClose: (end) => this.#onClose(end),
    });
    const queued = this.#queued ?? [];
    this.#queued = undefined;
    for (const message of queued) {
      try {
        this.#sendNow(message);
      } catch {
        // Reported; a call that waits for a reply times out.
      }
    }
  }

  #onClose(end: Omit<Disconnect, "address">): void {
    this.#client.rejectAllPendingRequests(end.reason);
    this.#options.onClose();
    if (this.#queued === undefined) {
      this.#options.onDisconnect?.({ ...end, address: this.#options.address });
    }
  }
}
