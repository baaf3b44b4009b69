import type { Milliseconds } from "@heroncleat/base";

/** One run of a request under which an upstream ended, by the own clock. */
export type CrashedRun = {
  /** Identity of the start that ended. */
  readonly upstream: string;
  readonly sentAt: Milliseconds;
  readonly endedAt: Milliseconds;
};
