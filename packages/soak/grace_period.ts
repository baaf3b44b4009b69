import type { Milliseconds } from "@heroncleat/base";

/** Time between SIGTERM and SIGKILL, as the settings of the entries have it. */
export const gracePeriod: Milliseconds = 4000;
