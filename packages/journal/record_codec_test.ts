import { decodeRecords } from "./decode_records.ts";
import { recordCodec } from "./record_codec.ts";

const payloads = ["one", "two", "three"].map((text) => Buffer.from(text));
const encoded = Buffer.concat(payloads.map((text) => recordCodec.encode(text)));

describe("records on disk", () => {
  test("are decoded as they were encoded", () => {
    const decoded = decodeRecords(encoded);
    expect(decoded).toMatchObject({ kind: "whole", length: encoded.length });
    expect(decoded.kind === "whole" && decoded.payloads.map(String))
      .toEqual(["one", "two", "three"]);
  });

  test("are decoded up to a tail that is torn at any byte", () => {
    const secondEnd = recordCodec.encode(payloads[0]!).length +
      recordCodec.encode(payloads[1]!).length;
    for (let size = secondEnd + 1; size < encoded.length; size += 1) {
      const decoded = decodeRecords(encoded.subarray(0, size));
      expect(decoded).toMatchObject({ kind: "whole", length: secondEnd });
    }
  });

  test("are reported as damaged if any byte of an earlier one changes", () => {
    const lastStart = encoded.length - recordCodec.encode(payloads[2]!).length;
    for (let position = 0; position < lastStart; position += 1) {
      const damaged = Buffer.from(encoded);
      damaged[position]! ^= 0x55;
      expect(decodeRecords(damaged).kind).toBe("damaged");
    }
  });
});
