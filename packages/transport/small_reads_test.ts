import { EventEmitter } from "node:events";
import type { Socket } from "node:net";
import { frameCodec } from "./frame_codec.ts";
import { FramedSocket } from "./framed_socket.ts";

const READ_BYTES = 16 * 1024;
const MESSAGE = "x".repeat(15 * 1024 * 1024);

// Guards against a message in small reads that is copied again at each of them.
test("the bytes of a message in small reads are copied a few times each", () => {
  const socket = Object.assign(new EventEmitter(), { setNoDelay: () => {} });
  let received: unknown;
  new FramedSocket(socket as unknown as Socket, {
    onMessage: (message) => received = message,
    onClose: () => {},
  });
  const frame = frameCodec.encode(Buffer.from(JSON.stringify(MESSAGE)));
  const { concat } = Buffer;
  const { copy } = Buffer.prototype;
  let copied = 0;
  Buffer.concat = (parts, ...rest) => {
    const joined = concat(parts, ...rest);
    copied += joined.length;
    return joined;
  };
  Buffer.prototype.copy = function (...args: Parameters<Buffer["copy"]>) {
    const count = copy.apply(this, args);
    copied += count;
    return count;
  };
  for (let offset = 0; offset < frame.length; offset += READ_BYTES) {
    socket.emit("data", frame.subarray(offset, offset + READ_BYTES));
  }
  Object.assign(Buffer, { concat });
  Object.assign(Buffer.prototype, { copy });
  expect(received).toBe(MESSAGE);
  expect(copied).toBeLessThan(4 * frame.length);
});
