/** Whether an entry's own links may be why a request isn't served from there. */
export const LinkSuspicion = {
  none: "none",
  /** Whether other upstreams accept connections tells. */
  unclear: "unclear",
  strong: "strong",
} as const;

export type LinkSuspicion = typeof LinkSuspicion[keyof typeof LinkSuspicion];
