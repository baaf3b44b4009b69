import type { AttemptResult } from "./attempt_result.ts";

/** The outcome of an attempt for which no upstream was chosen. */
export type UnsentResult = Exclude<
  AttemptResult,
  { readonly upstream: string }
>;
