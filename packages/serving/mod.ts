/**
 * Decisions of request forwarding, without I/O: routes, choice of upstreams,
 * quotas and retries, and the state that the parts of the system exchange for
 * them.
 *
 * @module
 */
export type { CallerLimits } from "./caller_limits.ts";
export type { FleetOrder } from "./fleet_order.ts";
export type { FleetSettings } from "./fleet_settings.ts";
export type { UpstreamChanges } from "./upstream_changes.ts";
export type { EntryCounters } from "./entry_counters.ts";
export type { EntryChanges } from "./entry_changes.ts";
export type { FeedReply } from "./feed_reply.ts";
export type { FeedRequest } from "./feed_request.ts";
export type { KnownEntry } from "./known_entry.ts";
export type { PromptPart } from "./prompt_part.ts";
export type { ReplicaList } from "./replica_list.ts";
export type { Route } from "./route.ts";
export type { EngineProfile } from "./engine_profile.ts";
export type { ScaleLimits } from "./scale_limits.ts";
export type { Service } from "./service.ts";
export type { ServingDocument } from "./serving_document.ts";
export type { SharedState } from "./shared_state.ts";
export type { SyncReply } from "./sync_reply.ts";
export type { SyncRequest } from "./sync_request.ts";
export { SuspectRegistry } from "./suspect_registry.ts";
export { suspectedPartKey } from "./suspected_part_key.ts";
export { SuspectStatus } from "./suspect_status.ts";
export type { CrashedRun } from "./crashed_run.ts";
export type { ReportedSuspect } from "./reported_suspect.ts";
export { RevisionCounter } from "./revision_counter.ts";
export type { SuspectKey } from "./suspect_key.ts";
export type { SuspectView } from "./suspect_view.ts";
export type { BalancedRequest } from "./balanced_request.ts";
export type { ChosenUpstream } from "./chosen_upstream.ts";
export type { KnownUpstream } from "./known_upstream.ts";
export { drainAgeOf } from "./drain_age_of.ts";
export type { MergeOutcome } from "./merge_outcome.ts";
export type { UpdateSource } from "./update_source.ts";
export type { RelayedChargeReport } from "./relayed_charge_report.ts";
export type { ChargeReport } from "./charge_report.ts";
export type { PermitOutcome } from "./permit_outcome.ts";
export type { PermitReply } from "./permit_reply.ts";
export type { PermitRequest } from "./permit_request.ts";
export type { ClassDemand } from "./class_demand.ts";
export type { RequestClass } from "./request_class.ts";
export { RestObservations } from "./rest_observations.ts";
export { ReturnTimes } from "./return_times.ts";
export { SendPermits } from "./send_permits.ts";
export type { SendPermit } from "./send_permits.ts";
export type { WantedPermit } from "./wanted_permit.ts";
export type { StatedRetryAfter } from "./parse_retry_after.ts";
export { parseRetryAfter } from "./parse_retry_after.ts";
export { UpstreamStatements } from "./upstream_statements.ts";
export type { StatedRateLimit } from "./parse_rate_limit.ts";
export { parseRateLimit } from "./parse_rate_limit.ts";
export type { RateLimit } from "./rate_limit.ts";
export type { RateLimitView } from "./rate_limit_view.ts";
export { RateLimitRegistry } from "./rate_limit_registry.ts";
export type { RecordProblem } from "./record_problem.ts";
export type { UpstreamLoad } from "./upstream_load.ts";
export type { UpstreamRecord } from "./upstream_record.ts";
export type { Workspace } from "./workspace.ts";
export type { QuotaSettings } from "./quota_settings.ts";
export type { QuotaCharge } from "./quota_charge.ts";
export type { ProcessUsage } from "./process_usage.ts";
export type { WorkspaceCounts } from "./workspace_counts.ts";
export { ChargeRelay } from "./charge_relay.ts";
export { CounterReport } from "./counter_report.ts";
export type { FollowedShares } from "./followed_share.ts";
export { followedShare } from "./followed_share.ts";
export { exchangeInterval } from "./exchange_interval.ts";
export { findRecordProblem } from "./find_record_problem.ts";
export { overloadRetryDelay } from "./overload_retry_delay.ts";
export { findDocumentErrors } from "./find_document_errors.ts";
export { findDocumentProblem } from "./find_document_problem.ts";
export { FleetPlanner } from "./fleet_planner.ts";
export { FailureReports } from "./failure_reports.ts";
export { Hub } from "./hub.ts";
export { IsolatedQuota } from "./isolated_quota.ts";
export { RunDurations } from "./run_durations.ts";
export { requiredTime } from "./required_time.ts";
export { ENTRY_LIST_LIFETIME } from "./entry_list_lifetime.ts";
export { median } from "./median.ts";
export { NoticeThreshold } from "./notice_threshold.ts";
export { documentCodec } from "./document_codec.ts";
export type { DocumentFinding } from "./document_finding.ts";
export { ENTRY_RETENTION } from "./entry_retention.ts";
export { idleConnectionLimit } from "./idle_connection_limit.ts";
export { LeasedShare } from "./leased_share.ts";
export { RecentMaximum } from "./recent_maximum.ts";
export type { RetryBudgetSettings } from "./retry_budget_settings.ts";
export type { RetryUsage } from "./retry_usage.ts";
export { SharedRetryBudget } from "./shared_retry_budget.ts";
export { RouteKind } from "./route_kind.ts";
export { RouteTable } from "./route_table.ts";
export { instanceId } from "./instance_id.ts";
export { UpstreamBalancer } from "./upstream_balancer.ts";
export { RelayEntries } from "./relay_entries.ts";
export { UpstreamReachability } from "./upstream_reachability.ts";
export type { KnownOrigin } from "./known_origin.ts";
export { originHolders } from "./origin_holders.ts";
export { OriginRepeats } from "./origin_repeats.ts";
export { OriginReserve } from "./origin_reserve.ts";
export {
  type OriginAnswer,
  OriginSearch,
  type OriginSearchResult,
} from "./origin_search.ts";
export { PossibleOrigins } from "./possible_origins.ts";
export type { ServiceVersions } from "./service_versions.ts";
export type { StreamOrigin } from "./stream_origin.ts";
export { StreamOrigins } from "./stream_origins.ts";
export { STREAM_RETENTION } from "./stream_retention.ts";
export { upstreamVersion } from "./upstream_version.ts";
export { UpstreamDirectory } from "./upstream_directory.ts";
export { UsageCounts } from "./usage_counts.ts";
export { WorkspaceQuota } from "./workspace_quota.ts";
