/**
 * State machine of an accepted request at its owner, and its copy at the
 * standby.
 *
 * @module
 */
export type { ReclaimPolicy } from "./reclaim_policy.ts";
export type { ReclaimSituation } from "./reclaim_situation.ts";
export type { RequestEffect } from "./request_effect.ts";
export type { RequestEvent } from "./request_event.ts";
export type { RequestSettings } from "./request_settings.ts";
export type { StandbyCopy } from "./standby_copy.ts";
export { createReclaimPolicy } from "./create_reclaim_policy.ts";
export { isTokenIntervalSample } from "./is_token_interval_sample.ts";
export { OwnedRequest } from "./owned_request.ts";
export { ReclaimAction } from "./reclaim_action.ts";
export { RequestPhase } from "./request_phase.ts";
export { StandbyStore } from "./standby_store.ts";
