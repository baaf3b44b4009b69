import type { IncomingMessage } from "node:http";
import type { Milliseconds } from "@heroncleat/base";
import type { ChunkLimit } from "../common/chunk_limit.ts";
import { hasTooManyChunks } from "../common/has_too_many_chunks.ts";
import { ReadTurns } from "../common/read_turns.ts";

const KIB = 1024;
const MIB = 1024 * KIB;

/** Time in which a caller may send the rest of a body that was refused. */
const DISCARD_TIME: Milliseconds = 10_000;
/** The same if it sends nothing, or had its time already. */
const SHORT_DISCARD_TIME: Milliseconds = 2000;
const MAX_DISCARDED_BYTES = 64 * MIB;
/** Bytes that are read at once; at full speed they would fill the memory. */
const DISCARDED_AT_ONCE = 64 * KIB;
/** Turns of all connections together in 20 ms, 50 MiB/s. */
const DISCARD_TURNS = 16;

const turns = new ReadTurns(DISCARD_TURNS);

/**
 * Reads and drops the rest of a body, as a connection that is closed before is
 * reset, and a caller that is still sending may lose its response. Resolves at
 * its end, or after a time or a number of bytes, when the connection closes.
 *
 * @param options.isRead Whether to read it.
 * @param options.isLate Whether its caller had its time already.
 * @param options.chunkLimit Beyond it nothing more is read.
 */
export function discardRequestBody(
  incoming: IncomingMessage,
  { chunkLimit, isRead = true, isLate = false }: {
    chunkLimit: ChunkLimit;
    isRead?: boolean;
    isLate?: boolean;
  },
): Promise<void> {
  return new Promise((resolve) => {
    let chunks = 0;
    let bytes = 0;
    let pauseAt = DISCARDED_AT_ONCE;
    let leaveTurns = () => {};
    const settle = () => {
      clearTimeout(timer);
      clearTimeout(silenceTimer);
      leaveTurns();
      incoming.off("data", onData);
      resolve();
    };
    const cut = () => {
      incoming.pause();
      incoming.socket.destroySoon();
      settle();
    };
    const onData = (chunk: Buffer) => {
      chunks += 1;
      bytes += chunk.length;
      silenceTimer.refresh();
      if (bytes >= MAX_DISCARDED_BYTES) {
        cut();
      } else if (hasTooManyChunks({ chunks, bytes }, chunkLimit)) {
        incoming.off("data", onData);
        incoming.pause();
      } else if (bytes >= pauseAt) {
        pauseAt = bytes + DISCARDED_AT_ONCE;
        incoming.pause();
        leaveTurns = turns.add(() => {
          silenceTimer.refresh();
          incoming.resume();
        });
      }
    };
    const timer = setTimeout(cut, isLate ? SHORT_DISCARD_TIME : DISCARD_TIME);
    const silenceTimer = setTimeout(cut, SHORT_DISCARD_TIME);
    timer.unref();
    silenceTimer.unref();
    incoming.once("end", settle);
    incoming.once("close", settle);
    if (isRead) {
      incoming.on("data", onData);
    } else {
      incoming.pause();
    }
  });
}
