/**
 * What to do with a stream whose upstream is being reclaimed.
 *
 * @public
 */
export const ReclaimAction = {
  /** Let the stream finish at its upstream. */
  finish: "finish",
  /** Continue at another upstream and transfer the KV cache to it. */
  transfer: "transfer",
  /** Continue at another upstream, which recomputes the KV cache. */
  resume: "resume",
} as const;
