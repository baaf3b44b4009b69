import type { Milliseconds } from "@heroncleat/base";
import type { SuspectStatus } from "./suspect_status.ts";
import type { SuspectKey } from "./suspect_key.ts";

/** A suspected request as shown to operators. @public */
export type SuspectView = SuspectKey & {
  readonly standing: SuspectStatus;
  /** IDs of the instances that crashed while running it. */
  readonly upstreams: readonly string[];
  /** Time since the last crash. */
  readonly age: Milliseconds;
};
