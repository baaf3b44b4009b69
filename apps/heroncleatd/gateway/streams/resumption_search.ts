import type { Milliseconds } from "@heroncleat/base";
import type { OriginSource } from "@heroncleat/serving";

/** How the origin of a resumed stream was searched for, for the log. */
export type ResumptionSearch = {
  readonly source: OriginSource | "none";
  readonly took: Milliseconds;
  /** How many were asked without success, and how many of them were silent. */
  readonly asked: number;
  readonly unanswered: number;
};
