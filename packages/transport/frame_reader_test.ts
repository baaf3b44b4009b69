import * as fc from "fast-check";
import { frameCodec } from "./frame_codec.ts";
import { FrameReader } from "./frame_reader.ts";

const MIB = 1024 * 1024;
const MAX_PAYLOAD_BYTES = 16 * MIB;

function readAll(bytes: Buffer, pieceBytes: () => number): Buffer[] {
  const reader = new FrameReader();
  const payloads: Buffer[] = [];
  for (let offset = 0; offset < bytes.length;) {
    const piece = bytes.subarray(offset, offset + pieceBytes());
    offset += piece.length;
    const read = reader.read(piece, MAX_PAYLOAD_BYTES);
    if (read.kind === "broken") {
      throw new Error(read.reason);
    }
    payloads.push(...read.payloads);
  }
  expect(reader.heldBytes).toBe(0);
  return payloads;
}

test("frames in pieces of any size are read whole and in order", () => {
  fc.assert(
    fc.property(
      fc.array(fc.uint8Array({ maxLength: 3000 }), { maxLength: 8 }),
      fc.array(fc.integer({ min: 1, max: 900 }), { minLength: 1 }),
      (payloads, sizes) => {
        const frames = payloads.map((each) =>
          frameCodec.encode(Buffer.from(each))
        );
        let index = 0;
        const nextSize = () => sizes[index++ % sizes.length]!;
        const read = readAll(Buffer.concat(frames), nextSize);
        expect(read.map((each) => [...each]))
          .toEqual(payloads.map((each) => [...each]));
      },
    ),
    { numRuns: 300, seed: 4 },
  );
});

// Guards against memory that an announced length or many small reads take.
test("an unfinished frame takes twice what has arrived of it at most", () => {
  const reader = new FrameReader();
  const header = Buffer.alloc(8);
  header.writeUInt32BE(MAX_PAYLOAD_BYTES);
  reader.read(header, MAX_PAYLOAD_BYTES);
  for (let sent = 1; sent <= MIB; sent += 1) {
    reader.read(Buffer.from("x"), MAX_PAYLOAD_BYTES);
  }
  expect(reader.heldBytes).toBeGreaterThan(MIB);
  expect(reader.heldBytes).toBeLessThanOrEqual(2 * MIB);
});

test.each([2, 8, 9])(
  "a frame that is too long is refused, also in pieces of %d bytes",
  (size) => {
    const frame = frameCodec.encode(Buffer.alloc(101));
    const reader = new FrameReader();
    const kinds: string[] = [];
    for (let offset = 0; offset < 8; offset += size) {
      const piece = frame.subarray(offset, offset + size);
      kinds.push(reader.read(piece, 100).kind);
    }
    expect(kinds.at(-1)).toBe("broken");
  },
);
