/**
 * A whole deployment as processes on one machine, for the demo, the tests of
 * failures and the measurements.
 *
 * @module
 */
export type { Deployment } from "./deployment.ts";
export type { DeploymentPlan } from "./deployment_plan.ts";
export type { ProcessScripts } from "./process_scripts.ts";
export type { FollowedAnswer } from "./followed_answer.ts";
export { ask } from "./ask.ts";
export { findTakenAddress } from "./find_taken_address.ts";
export { followAnswer } from "./follow_answer.ts";
export { LinkRelay } from "./link_relay.ts";
export { ProcessGroup } from "./process_group.ts";
export { startDeployment } from "./start_deployment.ts";
export { waitFor } from "./wait_for.ts";
export { writeDeployment } from "./write_deployment.ts";
