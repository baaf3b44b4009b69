import { type DecodedFrames, frameCodec } from "./frame_codec.ts";

const NO_BYTES: Buffer = Buffer.alloc(0);
/** Smallest allocation for a frame that arrives in several reads. */
const MIN_ALLOCATION_BYTES = 1024;

/**
 * Takes frames out of what is read from a connection. An unfinished one is kept
 * in a buffer that doubles as bytes arrive: an announced length reserves nothing.
 *
 * @internal
 */
export class FrameReader {
  #buffer = NO_BYTES;
  #usedBytes = 0;
  /** Length of the unfinished frame; undefined until its header has arrived. */
  #frameBytes: number | undefined;

  /** Memory that the unfinished frame takes. */
  get heldBytes(): number {
    return this.#buffer.length;
  }

  /** Returns the payloads of the frames that `bytes` complete. */
  read(
    bytes: Buffer,
    maxPayloadBytes: number,
  ): Exclude<DecodedFrames, { kind: "frames" }> | {
    readonly kind: "payloads";
    readonly payloads: readonly Buffer[];
  } {
    const payloads: Buffer[] = [];
    let unread = bytes;
    while (this.#usedBytes > 0 && unread.length > 0) {
      const target = this.#frameBytes ?? frameCodec.headerBytes;
      const part = unread.subarray(0, target - this.#usedBytes);
      unread = unread.subarray(part.length);
      this.#append(part);
      if (this.#usedBytes < target) {
        break;
      }
      const decoded = this.#decode(maxPayloadBytes);
      if (decoded.kind === "broken") {
        return decoded;
      }
      payloads.push(...decoded.payloads);
    }
    const decoded = frameCodec.decode(unread, maxPayloadBytes);
    if (decoded.kind === "broken") {
      return decoded;
    }
    for (const payload of decoded.payloads) {
      payloads.push(payload);
    }
    this.#append(decoded.rest);
    return { kind: "payloads", payloads };
  }

  /** Decodes the header of the unfinished frame, or the frame if it is whole. */
  #decode(maxPayloadBytes: number): DecodedFrames {
    const used = this.#buffer.subarray(0, this.#usedBytes);
    const decoded = frameCodec.decode(used, maxPayloadBytes);
    if (decoded.kind === "broken" || decoded.payloads.length > 0) {
      this.#buffer = NO_BYTES;
      this.#usedBytes = 0;
      this.#frameBytes = undefined;
    }
    return decoded;
  }

  #append(bytes: Buffer): void {
    const usedBytes = this.#usedBytes + bytes.length;
    if (usedBytes > this.#buffer.length) {
      const doubled = Math.max(MIN_ALLOCATION_BYTES, 2 * this.#buffer.length);
      const size = Math.min(doubled, this.#frameBytes ?? MIN_ALLOCATION_BYTES);
      const grown = Buffer.allocUnsafeSlow(Math.max(usedBytes, size));
      this.#buffer.copy(grown, 0, 0, this.#usedBytes);
      this.#buffer = grown;
    }
    bytes.copy(this.#buffer, this.#usedBytes);
    this.#usedBytes = usedBytes;
    if (usedBytes >= frameCodec.headerBytes) {
      this.#frameBytes = frameCodec.frameBytes(this.#buffer);
    }
  }
}
