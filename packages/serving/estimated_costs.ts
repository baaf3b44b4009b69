import type { BalancerCosts } from "./balancer_costs.ts";
import { queueCost } from "./queue_cost.ts";
import { slotWait } from "./slot_wait.ts";

/** Costs in milliseconds of callers' time, from what was learned. @public */
export const estimatedCosts: BalancerCosts = { slotWait, queueCost };
