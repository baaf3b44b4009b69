import type { ServerResponse } from "node:http";
import { EndlessBytes } from "../../common/endless_bytes.ts";
import type { ExceededLimit } from "../../common/exceeded_limit.ts";
import { reportEndless } from "../../common/report_endless.ts";
import type { ForwardContext } from "../forward_context.ts";
import { connectionEnds } from "./connection_ends.ts";
import { EndedBy } from "./ended_by.ts";

/**
 * Counts a body while its caller reads it. Beyond the limit of all such bodies
 * the largest is broken off. Returns a function to call once it was read.
 */
export function limitUnread(
  response: ServerResponse,
  { bytes, request, upstream, context }: {
    bytes: number;
    /** Identifier of the caller's attempt. */
    request: string;
    upstream: string;
    context: ForwardContext;
  },
): () => void {
  const { unread } = context.bodies;
  const giveUp = (exceeded: ExceededLimit) => {
    reportEndless(new EndlessBytes(exceeded), {
      ...context,
      request,
      upstream,
    });
    connectionEnds.record(response.socket, EndedBy.limit);
    response.socket?.resetAndDestroy();
  };
  unread.hold(giveUp, bytes);
  return () => unread.release(giveUp);
}
