import { validateHeaderValue } from "node:http";
import fc from "fast-check";
import { headerValue } from "./header_value.ts";

test("an encoded value can be sent exactly if headers allow the text", () => {
  fc.assert(
    fc.property(fc.string({ unit: "binary" }), (text) => {
      const send = () => validateHeaderValue("x", headerValue.encode(text));
      if (headerValue.allows(text)) {
        expect(send).not.toThrow();
      } else {
        expect(send).toThrow();
      }
    }),
    { numRuns: 2000, seed: 7 },
  );
});
