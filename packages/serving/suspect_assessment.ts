import type { Milliseconds } from "@heroncleat/base";
import type { SuspectStatus } from "./suspect_status.ts";

/** How a request stands, and until when, where that is known. @internal */
export type SuspectAssessment = {
  readonly standing: SuspectStatus;
  readonly until: Milliseconds;
};
