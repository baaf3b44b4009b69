import type { Workspace } from "@heroncleat/serving";
import type { Prompt } from "./prompt.ts";

/** What a request takes from its workspace's quota. */
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
