import type { Milliseconds } from "@heroncleat/base";

/**
 * A copy that was sent to the standby and isn't acknowledged yet.
 *
 * @internal
 */
export type PendingCopy = {
  readonly number: number;
  /** Number of chunks that the standby holds once it has the copy. */
  readonly endIndex: number;
  readonly finished: boolean;
  readonly sentAt: Milliseconds;
};
