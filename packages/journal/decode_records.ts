import { recordCodec } from "./record_codec.ts";

/** The content of a record file. */
type DecodedRecords =
  | {
    readonly kind: "whole";
    readonly payloads: readonly Buffer[];
    /** Bytes up to the end of the last complete record. */
    readonly length: number;
  }
  | { readonly kind: "damaged"; readonly offset: number };

/**
 * Decodes all records of a file. A torn last record, which a crash during a
 * write leaves, is omitted. An invalid record with a valid one after it isn't
 * the result of a crash and is reported as damage.
 *
 * @internal
 */
export function decodeRecords(bytes: Buffer): DecodedRecords {
  const payloads: Buffer[] = [];
  let offset = 0;
  while (offset < bytes.length) {
    const record = recordCodec.decode(bytes, offset);
    if (record === undefined) {
      return recordCodec.hasRecordFrom(bytes, offset + 1)
        ? { kind: "damaged", offset }
        : { kind: "whole", payloads, length: offset };
    }
    payloads.push(record.payload);
    offset = record.end;
  }
  return { kind: "whole", payloads, length: offset };
}
