import type { POLICIES } from "./policies.ts";
import type { WORKLOADS } from "./workloads.ts";

/** One run of the policy table, as it is given to a worker. */
export type PolicyTask = {
  readonly workload: keyof typeof WORKLOADS;
  readonly policy: keyof typeof POLICIES;
  /** Place in the list of scenarios. */
  readonly scenario: number;
  readonly seed: number;
};
