/** The body that belongs to one attempt at one upstream. */
export function answerOf(attempt: string, upstream: string): string {
  return `${attempt} at ${upstream}`;
}
