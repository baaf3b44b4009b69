import { crc32 } from "node:zlib";

const HEADER_BYTES = 8;
const CHECKSUM_OFFSET = 4;

/** Decoded frames, or the reason why the rest of the stream is unreadable. */
export type DecodedFrames =
  | {
    readonly kind: "frames";
    readonly payloads: readonly Buffer[];
    readonly rest: Buffer;
  }
  | { readonly kind: "broken"; readonly reason: string };

/**
 * Encodes and decodes frames: the payload's length and its CRC-32 as 32-bit
 * big-endian numbers, then the payload.
 *
 * @internal
 */
export const frameCodec = {
  headerBytes: HEADER_BYTES,

  /** Length of a frame, from its header. */
  frameBytes(header: Buffer): number {
    return HEADER_BYTES + header.readUInt32BE(0);
  },

  encode(payload: Buffer): Buffer {
    const header = Buffer.alloc(HEADER_BYTES);
    header.writeUInt32BE(payload.length, 0);
    header.writeUInt32BE(crc32(payload), CHECKSUM_OFFSET);
    return Buffer.concat([header, payload]);
  },

  /** Decodes all complete frames at the start of `bytes`. */
  decode(bytes: Buffer, maxPayloadBytes: number): DecodedFrames {
    const payloads: Buffer[] = [];
    let offset = 0;
    while (offset + HEADER_BYTES <= bytes.length) {
      const length = bytes.readUInt32BE(offset);
      if (length > maxPayloadBytes) {
        return {
          kind: "broken",
          reason: `an oversized frame of ${length} bytes`,
        };
      }
      const start = offset + HEADER_BYTES;
      const end = start + length;
      if (end > bytes.length) {
        break;
      }
      const payload = bytes.subarray(start, end);
      if (crc32(payload) !== bytes.readUInt32BE(offset + CHECKSUM_OFFSET)) {
        return { kind: "broken", reason: "a frame with an incorrect checksum" };
      }
      payloads.push(payload);
      offset = end;
    }
    return { kind: "frames", payloads, rest: bytes.subarray(offset) };
  },
};
