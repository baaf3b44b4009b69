/** Builds the response body that identifies an attempt and its upstream. */
export function responseBody(attempt: string, upstream: string): string {
  return `${attempt} at ${upstream}`;
}
