/** What to do with a stream whose upstream is being reclaimed. @public */
export const ReclaimAction = {
  /** Let it run to its end where it is. */
  finish: "finish",
  /** Continue elsewhere and move the KV cache there. */
  transfer: "transfer",
  /** Continue elsewhere from the prompt and the tokens so far. */
  resume: "resume",
} as const;
