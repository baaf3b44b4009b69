/**
 * Components of the daemon for programs that supply their own settings and
 * header names.
 *
 * @module
 */
export type { DecodedDocument } from "./gateway/exchange/decoded_document.ts";
export type { GatewaySettings } from "./gateway/gateway_settings.ts";
export type { HeaderNames } from "./gateway/header_names.ts";
export type { Prompt } from "./gateway/prompt.ts";
export type {
  LeaderTaskCalls,
  LeaderTaskHolder,
  LeaderTaskOutcome,
} from "./hub/leader_task_calls.ts";
export type { HubProxySettings } from "./hub/hub_proxy_settings.ts";
export type { HubSettings } from "./hub/hub_settings.ts";
export type { PublishOutcome } from "./hub/publish_outcome.ts";
export type { RolloutOutcome } from "./hub/rollout_outcome.ts";
export type { CallBody } from "./common/read_call_body.ts";
export type { CallerLimits } from "./gateway/caller_limits.ts";
export type { ChunkLimit } from "./common/chunk_limit.ts";
export type { Log } from "./common/log.ts";
export type { Metrics } from "./common/metrics.ts";
export type { RunningGateway } from "./gateway/running_gateway.ts";
export type { RunningHub } from "./hub/running_hub.ts";
export type { UpdateOutcome } from "./hub/update_outcome.ts";
export { ByteBudget } from "./common/byte_budget.ts";
export { closeLingering } from "./common/close_lingering.ts";
export { createBoundedLogs } from "./common/create_bounded_logs.ts";
export { createDisconnectLogger } from "./common/create_disconnect_logger.ts";
export { createRefusalLogger } from "./common/create_refusal_logger.ts";
export { createFailureHandler } from "./common/create_failure_handler.ts";
export { createTaskFailureHandler } from "./common/create_task_failure_handler.ts";
export { createExposedMetrics } from "./common/create_exposed_metrics.ts";
export { discardBody } from "./common/discard_body.ts";
export { limitConnections } from "./common/limit_connections.ts";
export { openResponse } from "./common/open_response.ts";
export { paceReads } from "./common/pace_reads.ts";
export { readCallBody } from "./common/read_call_body.ts";
export { serveMetrics } from "./common/serve_metrics.ts";
export { startGateway } from "./gateway/start_gateway.ts";
export { startHubProxy } from "./hub/start_hub_proxy.ts";
export { startHub } from "./hub/start_hub.ts";
export { UnfinishedBodies } from "./common/unfinished_bodies.ts";
export { UnsentResponses } from "./common/unsent_responses.ts";
