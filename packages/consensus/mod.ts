/**
 * A replicated log (Raft) as a state machine without I/O: elections, leader
 * leases, linearizable reads, membership changes, snapshots.
 *
 * @module
 */
export type { ClockReading } from "./clock_reading.ts";
export type { MemberProgress } from "./member_progress.ts";
export type { ReplicaEffect } from "./replica_effect.ts";
export type { ReplicaEvent } from "./replica_event.ts";
export type { ReplicaSettings } from "./replica_settings.ts";
export type { StoredReplica } from "./stored_replica.ts";
export { describeUnmetFaultTolerance } from "./describe_unmet_fault_tolerance.ts";
export type { GroupState } from "./group_state.ts";
export type { FaultToleranceTarget } from "./fault_tolerance_target.ts";
export { faultTolerance } from "./fault_tolerance.ts";
export { planMembershipChange } from "./plan_membership_change.ts";
export { Replica } from "./replica.ts";
export { ReplicaRole } from "./replica_role.ts";
