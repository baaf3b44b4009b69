/**
 * Chooses the upstream that serves a request by selectors, group shares,
 * prefix caches, latency estimates and price. Includes baseline policies.
 *
 * @module
 */
export type { Candidate } from "./candidate.ts";
export type { LoadBalancingPolicy } from "./load_balancing_policy.ts";
export type { RouteChoice } from "./route_choice.ts";
export type { RoutedRequest } from "./routed_request.ts";
export type { RoutingSettings } from "./routing_settings.ts";
export { chooseGroup } from "./choose_group.ts";
export { chooseLeastLoaded } from "./choose_least_loaded.ts";
export { createRoundRobinPolicy } from "./create_round_robin_policy.ts";
export { createWeightedPolicy } from "./create_weighted_policy.ts";
export { matchSelector } from "./match_selector.ts";
export { hashPrefixBlocks } from "./hash_prefix_blocks.ts";
export { Router } from "./router.ts";
export { ROUTING_DEFAULTS } from "./routing_defaults.ts";
export { subsetUpstreams } from "./subset_upstreams.ts";
