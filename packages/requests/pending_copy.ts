import type { Milliseconds } from "@heroncleat/base";

/** A copy on its way to the standby. @internal */
export type PendingCopy = {
  readonly number: number;
  readonly endIndex: number;
  readonly finished: boolean;
  readonly sentAt: Milliseconds;
};
