import { recordCodec } from "./record_codec.ts";

/** What a file of records holds. */
type DecodedRecords =
  | {
    readonly kind: "whole";
    readonly payloads: readonly Buffer[];
    /** Bytes up to the end of the last whole record. */
    readonly length: number;
  }
  | { readonly kind: "damaged"; readonly offset: number };

/**
 * Reads all records. An unfinished last record, as a crash leaves it, is left
 * out. Damage with a whole record behind it can't be explained by a crash and
 * is reported.
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
