import type { Milliseconds } from "@heroncleat/base";
import type { SuspectStatus } from "./suspect_status.ts";

/**
 * Status of a request, and until when it is valid (`Infinity` if open).
 * @internal
 */
export type SuspectAssessment = {
  readonly standing: SuspectStatus;
  readonly until: Milliseconds;
};
