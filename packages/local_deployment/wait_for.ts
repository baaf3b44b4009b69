const POLL_INTERVAL_MS = 50;

/**
 * Polls a check until it returns a value; a rejected check is retried.
 *
 * @throws Error when the timeout has passed.
 * @public
 */
export async function waitFor<Value>(
  description: string,
  options: { timeout: number; check: () => Promise<Value | undefined> },
): Promise<Value> {
  const until = Date.now() + options.timeout;
  while (Date.now() < until) {
    const value = await options.check().catch(() => undefined);
    if (value !== undefined) {
      return value;
    }
    await new Promise((resolve) => setTimeout(resolve, POLL_INTERVAL_MS));
  }
  throw new Error(`${description} took longer than ${options.timeout} ms`);
}
