import type { Milliseconds } from "@heroncleat/base";

/** A ping sent at the request of another member. @internal */
export type RelayedProbe = {
  readonly requester: string;
  readonly requesterNumber: number;
  readonly expiresAt: Milliseconds;
};
