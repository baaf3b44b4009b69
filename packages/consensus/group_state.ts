import type { ReplicaMember } from "@heroncleat/schema";
import type { FaultToleranceTarget } from "./fault_tolerance_target.ts";

/** State of a group as one of its replicas sees it. @public */
export type GroupState = {
  /** Name of the leader; empty while none is known. */
  readonly leader: string;
  readonly members: readonly ReplicaMember[];
  readonly promised: FaultToleranceTarget;
  /** Messages about the parts of the target that aren't met. */
  readonly unkept: readonly string[];
};
