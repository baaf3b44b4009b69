import {
  chooseLeastLoaded,
  createRoundRobinPolicy,
  createWeightedPolicy,
} from "@heroncleat/routing";
import type { Policy } from "./policy.ts";

/** Weighted load balancing under both weightings, and the baselines. */
export const POLICIES = {
  cost: {
    name: "heroncleat, cost first",
    createLoadBalancingPolicy: () => createWeightedPolicy("cost"),
    restartsFromScratch: false,
    usesOnlyOnDemand: false,
  },
  recompute: {
    name: "heroncleat, recompute first",
    createLoadBalancingPolicy: () => createWeightedPolicy("recompute"),
    restartsFromScratch: false,
    usesOnlyOnDemand: false,
  },
  roundRobin: {
    name: "round robin",
    createLoadBalancingPolicy: () => createRoundRobinPolicy(),
    restartsFromScratch: false,
    usesOnlyOnDemand: false,
  },
  leastLoaded: {
    name: "least loaded",
    createLoadBalancingPolicy: () => chooseLeastLoaded,
    restartsFromScratch: false,
    usesOnlyOnDemand: false,
  },
  restart: {
    name: "restart from scratch",
    createLoadBalancingPolicy: () => createWeightedPolicy("cost"),
    restartsFromScratch: true,
    usesOnlyOnDemand: false,
  },
  onDemand: {
    name: "on-demand only",
    createLoadBalancingPolicy: () => createWeightedPolicy("cost"),
    restartsFromScratch: false,
    usesOnlyOnDemand: true,
  },
} as const satisfies Record<string, Policy>;
