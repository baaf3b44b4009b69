const TIMEOUT_MS = 25_000;
const POLL_INTERVAL_MS = 50;

/**
 * Polls until a condition holds.
 *
 * @throws Error if the condition doesn't hold within `TIMEOUT_MS`.
 */
export async function waitUntil(
  condition: () => boolean | Promise<boolean>,
): Promise<void> {
  const deadline = performance.now() + TIMEOUT_MS;
  while (!await condition()) {
    if (performance.now() > deadline) {
      throw new Error(
        `The condition didn't become true within ${TIMEOUT_MS} ms.`,
      );
    }
    await new Promise((resolve) => setTimeout(resolve, POLL_INTERVAL_MS));
  }
}
