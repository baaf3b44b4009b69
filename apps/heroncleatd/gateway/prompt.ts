import type { PromptPart } from "@heroncleat/serving";

/** What the headers of a request say of its prompt. */
export type Prompt = {
  readonly promptTokens: number;
  /** Most tokens that may be generated. */
  readonly outputTokens: number;
  /** Tokens that the caller expects; absent where it doesn't say. */
  readonly expectedTokens: number | undefined;
  /** Parts in order; those of other requests may begin with the same ones. */
  readonly parts: readonly PromptPart[];
};
