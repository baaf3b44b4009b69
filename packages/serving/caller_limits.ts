import type { Milliseconds } from "@heroncleat/base";

/** What callers may send, and how long they may take. @public */
export type CallerLimits = {
  readonly maxHeaderBytes: number;
  readonly maxBodyBytes: number;
  readonly headerTimeout: Milliseconds;
  readonly idleTimeout: Milliseconds;
};
