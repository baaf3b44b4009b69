import type { Socket } from "node:net";
import type { Disconnect } from "./disconnect.ts";
import { frameCodec } from "./frame_codec.ts";
import { FrameReader } from "./frame_reader.ts";

/** Limit for one message; larger contents are sent in several. */
const MAX_PAYLOAD_BYTES = 16 * 1024 * 1024;
/**
 * Limit of the send queue beyond one message; a slow peer that exceeds it is
 * disconnected.
 */
const MAX_QUEUED_BYTES = 4 * 1024 * 1024;
/** Messages that are handled before other connections get their turn. */
const MAX_MESSAGES_PER_TURN = 64;

type SocketHandlers = {
  readonly onMessage: (message: unknown) => void;
  readonly onClose: (end: Omit<Disconnect, "address">) => void;
};

/**
 * A socket that carries JSON messages in frames with checksums.
 *
 * @internal
 */
export class FramedSocket {
  readonly #socket: Socket;
  #handlers: SocketHandlers;
  readonly #reader = new FrameReader();
  readonly #onHeld: (heldBytes: number) => void;
  #maxPayloadBytes: number;
  #isClosed = false;
  /** Messages that wait for their turn. */
  #waiting: readonly Buffer[] = [];
  /** Why the peer's side has ended while messages wait. */
  #endReason: string | undefined;
  /** Sizes of the messages that wait until the peer reads, oldest first. */
  readonly #queuedSizes: number[] = [];
  #lastReceivedAt = 0;

  /**
   * @param options.maxPayloadBytes Limit for received messages until the
   * handshake has been completed.
   * @param options.onHeld Called with the memory of the unfinished frame, after
   * each read and once more when the connection ends.
   */
  constructor(
    socket: Socket,
    handlers: SocketHandlers,
    { maxPayloadBytes = MAX_PAYLOAD_BYTES, onHeld = () => {} }: {
      maxPayloadBytes?: number;
      onHeld?: (heldBytes: number) => void;
    } = {},
  ) {
    this.#socket = socket;
    this.#handlers = handlers;
    this.#maxPayloadBytes = maxPayloadBytes;
    this.#onHeld = onHeld;
    socket.setNoDelay(true);
    socket.on("data", (bytes: Buffer) => this.#onData(bytes));
    socket.on("error", (error) => this.#endByPeer(error.message));
    socket.on(
      "close",
      () => this.#endByPeer("the peer closed the connection"),
    );
  }

  get isOpen(): boolean {
    return !this.#isClosed && this.#endReason === undefined;
  }

  /** Bytes that wait until the peer reads. */
  get queuedBytes(): number {
    return this.#socket.writableLength;
  }

  /** Time by `performance.now()` at which bytes last arrived; 0 if never. */
  get lastReceivedAt(): number {
    return this.#lastReceivedAt;
  }

  /** Admits messages of any size that peers send, once the secret is proved. */
  completeHandshake(handlers: SocketHandlers): void {
    this.#handlers = handlers;
    this.#maxPayloadBytes = MAX_PAYLOAD_BYTES;
  }

  /**
   * Sends a message, or closes the connection if the send queue is full.
   *
   * @throws RangeError if the peer would refuse the message for its size.
   */
  send(message: unknown): void {
    if (!this.isOpen) {
      return;
    }
    const payload = Buffer.from(JSON.stringify(message));
    if (payload.length > MAX_PAYLOAD_BYTES) {
      throw new RangeError(
        `A message of ${payload.length} bytes exceeds the limit of ` +
          `${MAX_PAYLOAD_BYTES} bytes.`,
      );
    }
    const [current = 0] = this.#queuedSizes;
    if (this.#socket.writableLength - current > MAX_QUEUED_BYTES) {
      this.close("the peer reads too slowly and its send queue is full");
      return;
    }
    const frame = frameCodec.encode(payload);
    this.#queuedSizes.push(frame.length);
    this.#socket.write(frame, () => this.#queuedSizes.shift());
  }

  close(reason: string): void {
    this.#end(reason, false);
  }

  /** Ends once the messages that came before have been handled. */
  #endByPeer(reason: string): void {
    if (this.#waiting.length === 0) {
      this.#end(reason, true);
    } else {
      this.#endReason ??= reason;
    }
  }

  #end(reason: string, byPeer: boolean): void {
    if (this.#isClosed) {
      return;
    }
    this.#isClosed = true;
    const { queuedBytes } = this;
    this.#socket.destroy();
    this.#onHeld(0);
    this.#handlers.onClose({ reason, queuedBytes, byPeer });
  }

  #onData(bytes: Buffer): void {
    this.#lastReceivedAt = performance.now();
    const read = this.#reader.read(bytes, this.#maxPayloadBytes);
    if (read.kind === "broken") {
      this.close(`the peer sent ${read.reason}`);
      return;
    }
    this.#onHeld(this.#reader.heldBytes);
    this.#handle(read.payloads);
  }

  /** Handles messages, the rest of them in later turns of the event loop. */
  #handle(payloads: readonly Buffer[]): void {
    for (const payload of payloads.slice(0, MAX_MESSAGES_PER_TURN)) {
      if (this.#isClosed) {
        return;
      }
      this.#onPayload(payload);
    }
    this.#waiting = payloads.slice(MAX_MESSAGES_PER_TURN);
    if (this.#isClosed) {
      return;
    }
    if (this.#waiting.length > 0) {
      this.#socket.pause();
      setImmediate(() => {
        this.#socket.resume();
        this.#handle(this.#waiting);
      });
    } else if (this.#endReason !== undefined) {
      this.#end(this.#endReason, true);
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
    try {
      this.#handlers.onMessage(message);
    } catch (error) {
      const { message: problem } = error as Error;
      this.close(`the peer sent a message that can't be handled: ${problem}`);
    }
  }
}
