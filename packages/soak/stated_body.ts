import { repeatText } from "./repeat_text.ts";

const KIB = 1024;

/**
 * A request that sends less of its body than it states.
 *
 * @param head Lines of the head, each with its end.
 */
export function* statedBody(
  head: string,
  { bytes, statedBytes }: {
    readonly bytes: number;
    readonly statedBytes: number;
  },
): Iterable<Buffer> {
  yield Buffer.from(`${head}Content-Length: ${statedBytes}\r\n\r\n`);
  yield* repeatText("x".repeat(KIB), bytes / KIB);
}
