/**
 * Load shedding by rank and workspace, as decisions without I/O.
 *
 * @module
 */
export type { DemandReport } from "./demand_report.ts";
export type { DemandRow } from "./demand_row.ts";
export type { Offer } from "./offer.ts";
export type { RankLimit } from "./rank_limit.ts";
export type { ServiceRank } from "./service_rank.ts";
export type { SheddingDecision } from "./shedding_decision.ts";
export { limitRows } from "./limit_rows.ts";
export { LoadShedder } from "./load_shedder.ts";
export { overloadRetryDelay } from "./overload_retry_delay.ts";
export { rankLimits } from "./rank_limits.ts";
export { RefusalReason } from "./refusal_reason.ts";
