import type { ReplicaMember } from "@heroncleat/schema";
import type { FaultToleranceTarget } from "./fault_tolerance_target.ts";

/** A group as one of its replicas knows it. @public */
export type GroupState = {
  /** Name of the leader; empty while none is known. */
  readonly leader: string;
  readonly members: readonly ReplicaMember[];
  readonly promised: FaultToleranceTarget;
  /** What can't be kept of the promise, each with its remedy. */
  readonly unkept: readonly string[];
};
