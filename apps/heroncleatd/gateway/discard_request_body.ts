import type { IncomingMessage } from "node:http";
import type { ChunkLimit } from "../common/chunk_limit.ts";
import { dropInTurns } from "../common/drop_in_turns.ts";
import { hasTooManyChunks } from "../common/has_too_many_chunks.ts";
import { refusalLimits } from "../common/refusal_limits.ts";

/**
 * Reads and drops the rest of a body, as a connection that is closed before is
 * reset. Resolves at its end, or at a limit, when the connection closes.
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
  const { sendTime, silence } = refusalLimits;
  return new Promise((resolve) => {
    const stop = dropInTurns(incoming, {
      maxTime: isLate ? silence : sendTime,
      maxSilence: silence,
      accepts: (read) => isRead && !hasTooManyChunks(read, chunkLimit),
      onLimit: () => {
        incoming.socket.destroySoon();
        resolve();
      },
    });
    const settle = () => {
      stop();
      resolve();
    };
    incoming.once("end", settle);
    incoming.once("close", settle);
  });
}
