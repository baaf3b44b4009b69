/**
 * Stand-in upstreams for tests and benchmarks: model engines and plain services
 * that announce themselves.
 *
 * @module
 */
export type { EngineCounts } from "./engine_counts.ts";
export type { EngineJob } from "./engine_job.ts";
export type { EngineSettings } from "./engine_settings.ts";
export type { ServiceRun } from "./service_run.ts";
export type { StandInSettings } from "./stand_in_settings.ts";
export { expectedCompletion } from "./expected_completion.ts";
export { countTokens } from "./count_tokens.ts";
export { TokenSource } from "./token_source.ts";
export { ModelEngine } from "./model_engine.ts";
export { StandInBehaviour } from "./stand_in_behaviour.ts";
export { UpstreamStandIn } from "./upstream_stand_in.ts";
