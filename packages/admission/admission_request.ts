import type { Milliseconds } from "@heroncleat/base";
import type { Priority } from "@heroncleat/schema";

/** What admission needs to know of a request. @public */
export type AdmissionRequest = {
  readonly token: string;
  readonly workspace: string;
  readonly priority: Priority;
  /** When the answer is of no use any more, on the clock of `now`. */
  readonly deadlineAt: Milliseconds;
};
