import type { Milliseconds } from "@heroncleat/base";
import type { CrashStanding } from "./crash_standing.ts";

/** How a request stands, and until when, where that is known. @internal */
export type Judgement = {
  readonly standing: CrashStanding;
  readonly until: Milliseconds;
};
