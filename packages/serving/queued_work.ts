import type { Milliseconds } from "@heroncleat/base";

/** Work in a backlog. @internal */
export type QueuedWork = {
  readonly work: Milliseconds;
  /** When it should be done. */
  doneAt: Milliseconds;
};
