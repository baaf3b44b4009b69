/**
 * Runs a deployment as processes on one machine, for the demo, the fault tests
 * and the benchmarks.
 *
 * @module
 */
export type { Deployment } from "./deployment.ts";
export type { DeploymentPlan } from "./deployment_plan.ts";
export type { ProcessScripts } from "./process_scripts.ts";
export type { StreamedChatCompletion } from "./streamed_chat_completion.ts";
export { sendPrompt } from "./send_prompt.ts";
export { findAddressInUse } from "./find_address_in_use.ts";
export { streamChatCompletion } from "./stream_chat_completion.ts";
export { TcpRelay } from "./tcp_relay.ts";
export { ProcessGroup } from "./process_group.ts";
export { startDeployment } from "./start_deployment.ts";
export { waitFor } from "./wait_for.ts";
export { writeDeployment } from "./write_deployment.ts";
