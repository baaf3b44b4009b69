/** The body that belongs to one attempt at one upstream. */
export function responseBody(attempt: string, upstream: string): string {
  return `${attempt} at ${upstream}`;
}
