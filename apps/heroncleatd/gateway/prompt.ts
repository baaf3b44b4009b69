import type { PromptPart } from "@heroncleat/serving";

/** The prompt of a request, as described by its headers. */
export type Prompt = {
  readonly promptTokens: number;
  /** Largest number of tokens to generate. */
  readonly outputTokens: number;
  /**
   * Output tokens that the caller expects; undefined if it doesn't state any.
   */
  readonly expectedTokens: number | undefined;
  /** Parts in order; other prompts may begin with the same ones. */
  readonly parts: readonly PromptPart[];
};
