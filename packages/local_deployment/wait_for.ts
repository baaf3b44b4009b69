const PAUSE = 50;

/** Waits until a check succeeds; what it throws counts as not yet. @public */
export async function waitFor<Value>(
  what: string,
  options: { timeout: number; check: () => Promise<Value | undefined> },
): Promise<Value> {
  const until = Date.now() + options.timeout;
  while (Date.now() < until) {
    const value = await options.check().catch(() => undefined);
    if (value !== undefined) {
      return value;
    }
    await new Promise((resolve) => setTimeout(resolve, PAUSE));
  }
  throw new Error(`${what} took longer than ${options.timeout} ms`);
}
