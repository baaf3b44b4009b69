import { crc32 } from "node:zlib";

const HEADER_BYTES = 12;
const LENGTH_OFFSET = 4;
const CHECKSUM_OFFSET = 8;
/** First bytes of each record, by which the next record can be found. */
const MAGIC = 0x4843_4a31;

/** A decoded payload and the offset of the next record. */
type DecodedRecord = { readonly payload: Buffer; readonly end: number };

/**
 * Encodes and decodes records on disk: magic number, payload length and CRC-32
 * of the payload as 32-bit big-endian integers, then the payload.
 *
 * @public
 */
export const recordCodec = {
  encode(payload: Buffer): Buffer {
    const header = Buffer.alloc(HEADER_BYTES);
    header.writeUInt32BE(MAGIC, 0);
    header.writeUInt32BE(payload.length, LENGTH_OFFSET);
    header.writeUInt32BE(crc32(payload), CHECKSUM_OFFSET);
    return Buffer.concat([header, payload]);
  },

  /** Returns `undefined` if the record at `offset` is incomplete or invalid. */
  decode(bytes: Buffer, offset: number): DecodedRecord | undefined {
    if (offset + HEADER_BYTES > bytes.length) {
      return undefined;
    }
    if (bytes.readUInt32BE(offset) !== MAGIC) {
      return undefined;
    }
    const length = bytes.readUInt32BE(offset + LENGTH_OFFSET);
    const end = offset + HEADER_BYTES + length;
    if (end > bytes.length) {
      return undefined;
    }
    const payload = bytes.subarray(offset + HEADER_BYTES, end);
    const checksum = bytes.readUInt32BE(offset + CHECKSUM_OFFSET);
    return crc32(payload) === checksum ? { payload, end } : undefined;
  },

  /** Whether any valid record starts at `offset` or after it. */
  hasRecordFrom(bytes: Buffer, offset: number): boolean {
    const magic = Buffer.alloc(LENGTH_OFFSET);
    magic.writeUInt32BE(MAGIC, 0);
    let position = bytes.indexOf(magic, offset);
    while (position !== -1) {
      if (recordCodec.decode(bytes, position) !== undefined) {
        return true;
      }
      position = bytes.indexOf(magic, position + 1);
    }
    return false;
  },
};
