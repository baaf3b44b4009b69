/**
 * Which upstream serves a request: selectors, shares, prefix caches, latency
 * estimates and price, with the baselines they are measured against.
 *
 * @module
 */
export type { Candidate } from "./candidate.ts";
export type { CandidateChoice } from "./candidate_choice.ts";
export type { RouteChoice } from "./route_choice.ts";
export type { RoutedRequest } from "./routed_request.ts";
export type { RoutingSettings } from "./routing_settings.ts";
export { chooseGroup } from "./choose_group.ts";
export { chooseLeastLoaded } from "./choose_least_loaded.ts";
export { chooseRoundRobin } from "./choose_round_robin.ts";
export { chooseWeighted } from "./choose_weighted.ts";
export { matchSelector } from "./match_selector.ts";
export { prefixBlocks } from "./prefix_blocks.ts";
export { Router } from "./router.ts";
export { ROUTING_DEFAULTS } from "./routing_defaults.ts";
export { subsetUpstreams } from "./subset_upstreams.ts";
