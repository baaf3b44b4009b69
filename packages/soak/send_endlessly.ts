import type { ServerResponse } from "node:http";
import type { Random } from "@heroncleat/base";

const WRITE_BYTES = 64 * 1024;
/** Ends what nobody closes, so that the soak itself goes on. */
const MAX_BYTES = 64 * 1024 * 1024;
const LINE = "x".repeat(1024);
const HEAD = "HTTP/1.1 200 OK\r\n";
const CHUNKED = `${HEAD}Transfer-Encoding: chunked\r\n\r\n`;

/** What is written once, and what is written without end. */
const SHAPES: readonly { start: string; repeated: string }[] = [
  { start: HEAD, repeated: "a: b\r\n" },
  { start: "", repeated: LINE },
  { start: CHUNKED, repeated: `400\r\n${LINE}\r\n` },
  { start: `${CHUNKED}1;`, repeated: LINE },
  { start: `${HEAD}\r\n`, repeated: LINE },
];

/**
 * Writes bytes that are no answer in a random shape until the connection is
 * closed. Nothing in them names the attempt.
 */
export function sendEndlessly(response: ServerResponse, random: Random): void {
  const { socket } = response;
  if (socket === null) {
    return;
  }
  const { start, repeated } = SHAPES[Math.floor(random() * SHAPES.length)]!;
  const bytes = Buffer.from(
    repeated.repeat(Math.ceil(WRITE_BYTES / repeated.length)),
  );
  const before = socket.bytesWritten;
  const write = () => {
    while (!socket.destroyed && socket.write(bytes)) {
      // Goes on once the other side has read.
    }
    if (socket.bytesWritten - before > MAX_BYTES) {
      socket.destroy();
    }
  };
  socket.on("error", () => {});
  socket.on("drain", write);
  socket.write(start);
  write();
}
