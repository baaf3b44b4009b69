import type { RefusalCause } from "./refusal_cause.ts";

/** A connection that a server closed. @public */
export type PeerRefusal = {
  /** host:port of the peer. */
  readonly address: string;
  readonly cause: RefusalCause;
  readonly reason: string;
};
