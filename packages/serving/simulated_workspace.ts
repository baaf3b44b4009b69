import type { Workspace } from "./workspace.ts";

/**
 * Workspace with 1,000 tokens per second for quota tests.
 *
 * @internal
 */
export const simulatedWorkspace: Workspace = {
  name: "inn",
  keys: ["k"],
  priority: 1,
  rate: 1000,
  burst: 1000,
  defaultCharge: 10,
  countsTokens: true,
};
