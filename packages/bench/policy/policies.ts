import {
  chooseLeastLoaded,
  createRoundRobinPolicy,
  createWeightedPolicy,
} from "@heroncleat/routing";
import type { Policy } from "./policy.ts";

/** The product's policy under both weightings, and the baselines. */
export const POLICIES = {
  cost: {
    name: "heroncleat, cost first",
    choose: () => createWeightedPolicy("cost"),
    restarts: false,
    onDemandOnly: false,
  },
  recompute: {
    name: "heroncleat, recompute first",
    choose: () => createWeightedPolicy("recompute"),
    restarts: false,
    onDemandOnly: false,
  },
  roundRobin: {
    name: "round robin",
    choose: () => createRoundRobinPolicy(),
    restarts: false,
    onDemandOnly: false,
  },
  leastLoaded: {
    name: "least loaded",
    choose: () => chooseLeastLoaded,
    restarts: false,
    onDemandOnly: false,
  },
  restart: {
    name: "restart from scratch",
    choose: () => createWeightedPolicy("cost"),
    restarts: true,
    onDemandOnly: false,
  },
  onDemand: {
    name: "on-demand only",
    choose: () => createWeightedPolicy("cost"),
    restarts: false,
    onDemandOnly: true,
  },
} as const satisfies Record<string, Policy>;
