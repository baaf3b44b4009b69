/**
 * Rollouts of new versions of a service, as decisions without I/O.
 *
 * @module
 */
export type { Rollout } from "./rollout.ts";
export type { RolloutCommand } from "./rollout_command.ts";
export type { RolloutLimits } from "./rollout_limits.ts";
export type { RolloutOrder } from "./rollout_order.ts";
export type { RolloutProgress } from "./rollout_progress.ts";
export type { RolloutStep } from "./rollout_step.ts";
export type { BucketCounts, RouteSamples } from "./route_samples.ts";
export type { RouteComparison, VersionReport } from "./version_report.ts";
export type { VersionVerdict } from "./assess_version.ts";
export type { VersionedUpstream } from "./versioned_upstream.ts";
export type { UpstreamFilter } from "./version_gate.ts";
export type { VersionSample } from "./version_samples.ts";
export { assessVersion } from "./assess_version.ts";
export { isInProgress } from "./is_in_progress.ts";
export { planRollout } from "./plan_rollout.ts";
export { RolloutRegistry } from "./rollout_registry.ts";
export { RolloutStage } from "./rollout_stage.ts";
export { sumReports } from "./sum_reports.ts";
export { versionSide } from "./version_side.ts";
export { VersionGate } from "./version_gate.ts";
export { VersionSamples } from "./version_samples.ts";
