import type { Milliseconds } from "@heroncleat/base";
import type { BalancerCosts } from "./balancer_costs.ts";

/** Cost per request beyond the slots of an upstream. */
const QUEUED_REQUEST_COST: Milliseconds = 60;

/**
 * Constant costs, as used until slots, memory and speed of upstreams were
 * estimated. The benchmark compares `estimatedCosts` with them.
 *
 * @public
 */
export const fixedCosts: BalancerCosts = {
  slotWait: () => 0,
  queueCost: ({ requests, slots }) =>
    Math.max(0, requests + 1 - slots) * QUEUED_REQUEST_COST,
};
