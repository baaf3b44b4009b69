import type { Milliseconds } from "@heroncleat/base";

/** Size and time limits for requests of callers. @public */
export type CallerLimits = {
  readonly maxHeaderBytes: number;
  readonly maxBodyBytes: number;
  readonly headerTimeout: Milliseconds;
  readonly idleTimeout: Milliseconds;
};
