import type { POLICIES } from "./policies.ts";
import type { WORKLOADS } from "./workloads.ts";

/** One run of the policy benchmark, as posted to a worker thread. */
export type PolicyTask = {
  readonly workload: keyof typeof WORKLOADS;
  readonly policy: keyof typeof POLICIES;
  /** Index in `SCENARIOS`. */
  readonly scenario: number;
  readonly seed: number;
};
