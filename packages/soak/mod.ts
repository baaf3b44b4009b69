/**
 * Soak tests: a deployment of real processes under signals, restarts and
 * network partitions, with its guarantees checked from outside.
 *
 * @module
 */
export type { Finding } from "./finding.ts";
export type { FaultMode } from "./fault_mode.ts";
export { chunkedBody } from "./chunked_body.ts";
export { HostileCrowd } from "./hostile_crowd.ts";
export { repeatText } from "./repeat_text.ts";
export { statedBody } from "./stated_body.ts";
export { faultModes } from "./fault_modes.ts";
export { runSoak } from "./run_soak.ts";
export type { SoakReport } from "./run_soak.ts";
export type { MachinePlan } from "./machine_plan.ts";
export type { SoakDocument } from "./soak_document.ts";
export type { ProgramAdapter } from "./program_adapter.ts";
export type { UpstreamReport } from "./upstream_report.ts";
