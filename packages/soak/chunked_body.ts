import { repeatText } from "./repeat_text.ts";

/**
 * A request with a chunked body that stops short of its last chunk.
 *
 * @param head Lines of the head, each with its end.
 */
export function* chunkedBody(
  head: string,
  { bytes, chunkBytes }: {
    readonly bytes: number;
    readonly chunkBytes: number;
  },
): Iterable<Buffer> {
  yield Buffer.from(`${head}Transfer-Encoding: chunked\r\n\r\n`);
  const chunk = `${chunkBytes.toString(16)}\r\n${"x".repeat(chunkBytes)}\r\n`;
  yield* repeatText(chunk, Math.floor(bytes / chunkBytes));
}
