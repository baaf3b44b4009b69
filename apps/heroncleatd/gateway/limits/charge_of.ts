import type { Workspace } from "@heroncleat/serving";
import type { Prompt } from "../prompt.ts";

/**
 * The amount charged to the workspace's quota for a request: tokens if the
 * workspace counts tokens, otherwise 1.
 */
export function chargeOf(
  workspace: Workspace | undefined,
  prompt: Prompt | undefined,
): number {
  if (workspace === undefined || !workspace.countsTokens) {
    return 1;
  }
  return prompt === undefined
    ? workspace.defaultCharge
    : prompt.promptTokens + prompt.outputTokens;
}
