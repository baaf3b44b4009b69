import { crc32 } from "node:zlib";

const HEADER_BYTES = 12;
const LENGTH_OFFSET = 4;
const CHECKSUM_OFFSET = 8;
/** Starts each record, so that a reader can look for the next whole one. */
const MARK = 0x4843_4a31;

/** A decoded record and where the next one starts. */
type DecodedRecord = { readonly payload: Buffer; readonly end: number };

/**
 * The form of a record on disk: mark, length and CRC-32 as 32-bit big-endian
 * numbers, then the payload.
 *
 * @internal
 */
export const recordCodec = {
  encode(payload: Buffer): Buffer {
    const header = Buffer.alloc(HEADER_BYTES);
    header.writeUInt32BE(MARK, 0);
    header.writeUInt32BE(payload.length, LENGTH_OFFSET);
    header.writeUInt32BE(crc32(payload), CHECKSUM_OFFSET);
    return Buffer.concat([header, payload]);
  },

  /** Decodes the record at `offset`, or nothing where it isn't whole. */
  decode(bytes: Buffer, offset: number): DecodedRecord | undefined {
    if (offset + HEADER_BYTES > bytes.length) {
      return undefined;
    }
    if (bytes.readUInt32BE(offset) !== MARK) {
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

  /** Whether any whole record starts at or behind `offset`. */
  hasRecordFrom(bytes: Buffer, offset: number): boolean {
    const mark = Buffer.alloc(LENGTH_OFFSET);
    mark.writeUInt32BE(MARK, 0);
    let at = bytes.indexOf(mark, offset);
    while (at !== -1) {
      if (recordCodec.decode(bytes, at) !== undefined) {
        return true;
      }
      at = bytes.indexOf(mark, at + 1);
    }
    return false;
  },
};
