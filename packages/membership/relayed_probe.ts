import type { Milliseconds } from "@heroncleat/base";

/** A ping made for another member. @internal */
export type RelayedProbe = {
  readonly requester: string;
  readonly requesterNumber: number;
  readonly until: Milliseconds;
};
