import type { Milliseconds } from "@heroncleat/base";

/** A ping without an ack so far. @internal */
export type Probe = {
  readonly number: number;
  readonly target: string;
  /** Time at which other members are requested to ping the target. */
  indirectProbeAt: Milliseconds;
  /** Time at which the probe fails. */
  suspectAt: Milliseconds;
  hasRequestedIndirectProbes: boolean;
};
