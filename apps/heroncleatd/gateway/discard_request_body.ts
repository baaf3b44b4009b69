import type { IncomingMessage } from "node:http";
import type { Milliseconds } from "@heroncleat/base";
import type { ChunkLimit } from "../common/chunk_limit.ts";
import { hasTooManyChunks } from "../common/has_too_many_chunks.ts";

/** Time in which a caller may send the rest of a body that was refused. */
const DISCARD_TIME: Milliseconds = 2000;
/** Bytes that are read at once; at full speed they would fill the memory. */
const DISCARDED_AT_ONCE = 64 * 1024;
const DISCARD_INTERVAL: Milliseconds = 20;

/**
 * Reads and drops the rest of a body, as a connection that is closed before is
 * reset. Resolves at its end, or after a time.
 *
 * @param options.isRead Whether to read it.
 * @param options.chunkLimit Beyond it nothing more is read.
 */
export function discardRequestBody(
  incoming: IncomingMessage,
  { chunkLimit, isRead = true }: { chunkLimit: ChunkLimit; isRead?: boolean },
): Promise<void> {
  return new Promise((resolve) => {
    let chunks = 0;
    let bytes = 0;
    let pauseAt = DISCARDED_AT_ONCE;
    let resumeTimer: NodeJS.Timeout | undefined;
    const onData = (chunk: Buffer) => {
      chunks += 1;
      bytes += chunk.length;
      if (hasTooManyChunks({ chunks, bytes }, chunkLimit)) {
        incoming.off("data", onData);
        incoming.pause();
      } else if (bytes >= pauseAt) {
        pauseAt = bytes + DISCARDED_AT_ONCE;
        incoming.pause();
        resumeTimer = setTimeout(() => incoming.resume(), DISCARD_INTERVAL);
      }
    };
    const timer = setTimeout(() => {
      incoming.socket.destroySoon();
      resolve();
    }, DISCARD_TIME);
    timer.unref();
    const settle = () => {
      clearTimeout(timer);
      clearTimeout(resumeTimer);
      resolve();
    };
    incoming.once("end", settle);
    incoming.once("close", settle);
    if (isRead) {
      incoming.on("data", onData);
    } else {
      incoming.pause();
    }
  });
}
