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
  let written = 0;
  const write = () => {
    if (socket.destroyed || written > MAX_BYTES) {
      socket.destroy();
      return;
    }
    written += bytes.length;
    // One write an iteration: a reader as fast as this would block the loop.
    socket.write(bytes, () => setImmediate(write));
  };
  socket.on("error", () => {});
  socket.write(start);
  write();
}
