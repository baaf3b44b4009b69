import type { Milliseconds } from "@heroncleat/base";
import type { SuspectStatus } from "./suspect_status.ts";
import type { SuspectKey } from "./suspect_key.ts";

/** A suspected request as operators see it. @public */
export type SuspectView = SuspectKey & {
  readonly standing: SuspectStatus;
  /** Identities of the starts that ended under it. */
  readonly upstreams: readonly string[];
  /** Time since the last of them ended. */
  readonly age: Milliseconds;
};
