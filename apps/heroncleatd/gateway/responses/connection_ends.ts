import type { Socket } from "node:net";
import { EndedBy } from "./ended_by.ts";

const reasons = new WeakMap<Socket, EndedBy>();

/** Why this process closed connections of callers that were in use. */
export const connectionEnds = {
  /** Records the reason before a connection is closed; the first one counts. */
  record(socket: Socket | null, reason: EndedBy): void {
    if (socket !== null && !reasons.has(socket)) {
      reasons.set(socket, reason);
    }
  },

  /** Finds who closed a connection; the caller unless this process did. */
  find(socket: Socket | null): EndedBy {
    return (socket === null ? undefined : reasons.get(socket)) ??
      EndedBy.caller;
  },
};
