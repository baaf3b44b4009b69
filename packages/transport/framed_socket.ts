import type { Socket } from "node:net";
import { frameCodec } from "./frame_codec.ts";

/** Largest message between processes; snapshots are sent in chunks. */
const MOST_FRAME_BYTES = 16 * 1024 * 1024;
/** Bytes that may wait for a slow peer before the connection is dropped. */
const MOST_QUEUED_BYTES = 32 * 1024 * 1024;

/** What the user of a connection is told. */
type SocketHandlers = {
  readonly onMessage: (message: unknown) => void;
  readonly onClose: (reason: string) => void;
};

/**
 * A connection that carries JSON messages in checked frames.
 *
 * @internal
 */
export class FramedSocket {
  readonly #socket: Socket;
  #handlers: SocketHandlers;
  #received: Buffer = Buffer.alloc(0);
  #closed = false;
  #heardAt = 0;

  constructor(socket: Socket, handlers: SocketHandlers) {
    this.#socket = socket;
    this.#handlers = handlers;
    socket.setNoDelay(true);
    socket.on("data", (bytes: Buffer) => this.#onData(bytes));
    socket.on("error", (error) => this.close(error.message));
    socket.on("close", () => this.close("the peer closed the connection"));
  }

  get isOpen(): boolean {
    return !this.#closed;
  }

  /** Monotonic time at which bytes last arrived. */
  get heardAt(): number {
    return this.#heardAt;
  }

  /** Replaces the handlers, as after the handshake. */
  handleWith(handlers: SocketHandlers): void {
    this.#handlers = handlers;
  }

  /** Sends a message, or drops the connection when its queue is full. */
  send(message: unknown): void {
    if (this.#closed) {
      return;
    }
    const payload = Buffer.from(JSON.stringify(message));
    if (this.#socket.writableLength + payload.length > MOST_QUEUED_BYTES) {
      this.close("the peer reads too slowly");
      return;
    }
    this.#socket.write(frameCodec.encode(payload));
  }

  close(reason: string): void {
    if (this.#closed) {
      return;
    }
    this.#closed = true;
    this.#socket.destroy();
    this.#handlers.onClose(reason);
  }

  #onData(bytes: Buffer): void {
    this.#heardAt = performance.now();
    this.#received = this.#received.length === 0
      ? bytes
      : Buffer.concat([this.#received, bytes]);
    const decoded = frameCodec.decode(this.#received, MOST_FRAME_BYTES);
    if (decoded.kind === "broken") {
      this.close(`the peer sent ${decoded.reason}`);
      return;
    }
    this.#received = decoded.rest;
    for (const payload of decoded.payloads) {
      if (this.#closed) {
        return;
      }
      this.#onPayload(payload);
    }
  }

  #onPayload(payload: Buffer): void {
    let message: unknown;
    try {
      message = JSON.parse(payload.toString("utf8"));
    } catch {
      this.close("the peer sent a frame that is not JSON");
      return;
    }
    this.#handlers.onMessage(message);
  }
}
