import { decodeRecords } from "./decode_records.ts";
import { recordCodec } from "./record_codec.ts";

const payloads = ["one", "two", "three"].map((text) => Buffer.from(text));
const whole = Buffer.concat(payloads.map((text) => recordCodec.encode(text)));

describe("records on disk", () => {
  test("come back as they were written", () => {
    const decoded = decodeRecords(whole);
    expect(decoded).toMatchObject({ kind: "whole", length: whole.length });
    expect(decoded.kind === "whole" && decoded.payloads.map(String))
      .toEqual(["one", "two", "three"]);
  });

  test("lose only the last one when the tail is torn at any byte", () => {
    const second = recordCodec.encode(payloads[0]!).length +
      recordCodec.encode(payloads[1]!).length;
    for (let cut = second + 1; cut < whole.length; cut += 1) {
      const decoded = decodeRecords(whole.subarray(0, cut));
      expect(decoded).toMatchObject({ kind: "whole", length: second });
    }
  });

  test("are reported as damaged when a byte before the last flips", () => {
    const last = whole.length - recordCodec.encode(payloads[2]!).length;
    for (let place = 0; place < last; place += 1) {
      const damaged = Buffer.from(whole);
      damaged[place]! ^= 0x55;
      expect(decodeRecords(damaged).kind).toBe("damaged");
    }
  });
});
