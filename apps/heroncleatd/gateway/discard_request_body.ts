import type { IncomingMessage } from "node:http";
import type { ChunkLimit } from "../common/chunk_limit.ts";
import { dropInTurns } from "../common/drop_in_turns.ts";
import { hasTooManyChunks } from "../common/has_too_many_chunks.ts";
import { refusalLimits } from "../common/refusal_limits.ts";
import type { UnfinishedBodies } from "../common/unfinished_bodies.ts";

/**
 * Reads and drops the rest of a body, so that the connection can be used again,
 * or closes the connection at a limit.
 *
 * @param options.chunkLimit Beyond it nothing more is read.
 * @param options.unfinished The bodies that make room for new connections.
 */
export function discardRequestBody(
  incoming: IncomingMessage,
  { chunkLimit, unfinished }: {
    chunkLimit: ChunkLimit;
    unfinished: UnfinishedBodies;
  },
): Promise<void> {
  return new Promise((resolve) => {
    const settle = () => {
      stopDropping();
      stopListening();
      resolve();
    };
    const close = () => {
      incoming.socket.destroySoon();
      settle();
    };
    const stopDropping = dropInTurns(incoming, {
      maxTime: refusalLimits.sendTime,
      maxSilence: refusalLimits.silence,
      accepts: (read) => !hasTooManyChunks(read, chunkLimit),
      onLimit: close,
    });
    const stopListening = unfinished.add(close);
    incoming.once("end", settle);
    incoming.once("close", settle);
  });
}
