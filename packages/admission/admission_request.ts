import type { Milliseconds } from "@heroncleat/base";
import type { Priority } from "@heroncleat/schema";

/**
 * The attributes of a request that admission depends on.
 *
 * @public
 */
export type AdmissionRequest = {
  readonly token: string;
  readonly workspace: string;
  readonly priority: Priority;
  /** Time after which the request is dropped, on the clock of `now`. */
  readonly deadlineAt: Milliseconds;
};
