import type { Prompt } from "./prompt.ts";

/** Returns the output tokens that a caller expects or allows; 0 if unknown. */
export function outputTokensOf(prompt: Prompt | undefined): number {
  return prompt?.expectedTokens ?? prompt?.outputTokens ?? 0;
}
