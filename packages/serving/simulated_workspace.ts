import type { Workspace } from "./workspace.ts";

/**
 * A workspace for tests that play its quota: 1,000 tokens a second.
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
