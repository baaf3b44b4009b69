/**
 * Worker thread that runs the policy tasks posted to it, one at a time.
 *
 * @module
 */
import { parentPort } from "node:worker_threads";
import { POLICIES } from "./policies.ts";
import type { PolicyTask } from "./policy_task.ts";
import { runPolicy } from "./run_policy.ts";
import { SCENARIOS } from "./scenarios.ts";
import { WORKLOADS } from "./workloads.ts";

parentPort?.on("message", (task: PolicyTask) => {
  const result = runPolicy({
    policy: POLICIES[task.policy],
    scenario: SCENARIOS[task.scenario]!,
    workload: WORKLOADS[task.workload],
    seed: task.seed,
  });
  parentPort?.postMessage({ task, result });
});
