import type { RequestClass } from "./request_class.ts";

/** A request that waits for a permit. @public */
export type WantedPermit = RequestClass & {
  /** IDs of the upstreams that it could be sent to, the preferred one first. */
  readonly upstreams: readonly string[];
};
