/**
 * Capacity planning: which VMs to start and stop, and which models to load on
 * which upstream, given demand, prices and reclaim risk.
 *
 * @module
 */
export type { CapacityEffect } from "./capacity_effect.ts";
export type { CapacitySettings } from "./capacity_settings.ts";
export type { HeldVm } from "./held_vm.ts";
export type { ModelDemand } from "./model_demand.ts";
export type { ModelHost } from "./model_host.ts";
export type { Offer } from "./offer.ts";
export { CAPACITY_DEFAULTS } from "./capacity_defaults.ts";
export { CapacityPlanner } from "./capacity_planner.ts";
export { planLoads } from "./plan_loads.ts";
