/**
 * A replicated log as a state machine without I/O: elections, leases,
 * confirmed reads, member changes, snapshots.
 *
 * @module
 */
export type { Instant } from "./instant.ts";
export type { ReplicaEffect } from "./replica_effect.ts";
export type { ReplicaEvent } from "./replica_event.ts";
export type { ReplicaSettings } from "./replica_settings.ts";
export type { StoredReplica } from "./stored_replica.ts";
export { findUnkeptPromises } from "./find_unkept_promises.ts";
export type { GroupState } from "./group_state.ts";
export type { PromisedLosses } from "./promised_losses.ts";
export { lossTolerance } from "./loss_tolerance.ts";
export { planMembers } from "./plan_members.ts";
export { Replica } from "./replica.ts";
export { ReplicaRole } from "./replica_role.ts";
