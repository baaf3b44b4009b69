import type { Milliseconds } from "@heroncleat/base";

/** A ping that has not been answered yet. @internal */
export type Probe = {
  readonly number: number;
  readonly target: string;
  /** When others are asked to ping the target. */
  indirectAt: Milliseconds;
  /** When the target is suspected. */
  suspectAt: Milliseconds;
  askedOthers: boolean;
};
