import fc from "fast-check";
import { ByteCollector } from "./byte_collector.ts";

test("bytes are joined in order, however they arrive", () => {
  fc.assert(fc.property(
    fc.array(
      fc.record({
        size: fc.oneof(fc.nat(20), fc.nat(100_000)),
        isPeeked: fc.boolean(),
        isTaken: fc.boolean(),
      }),
      { maxLength: 30 },
    ),
    (steps) => {
      const collector = new ByteCollector();
      let expected = Buffer.alloc(0);
      steps.forEach(({ size, isPeeked, isTaken }, at) => {
        const piece = Buffer.alloc(size, at + 1);
        collector.append(piece);
        expected = Buffer.concat([expected, piece]);
        expect(collector.length).toBe(expected.length);
        if (isPeeked) {
          expect(collector.peek().equals(expected)).toBe(true);
        }
        if (isTaken) {
          expect(collector.take().equals(expected)).toBe(true);
          expected = Buffer.alloc(0);
        }
      });
      expect(collector.take().equals(expected)).toBe(true);
      expect(collector.length).toBe(0);
    },
  ));
});

// Guards against pieces of one byte that keep a read of 64 KB and an object
// each.
test("small pieces don't keep the reads that they came with", () => {
  const collector = new ByteCollector();
  for (let at = 0; at < 2000; at += 1) {
    collector.append(Buffer.alloc(32 * 1024).subarray(0, 1));
  }
  const { buffer } = collector.peek();
  expect(collector.length).toBe(2000);
  expect(buffer.byteLength).toBeLessThan(32 * 1024);
});
