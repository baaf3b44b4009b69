/** Time within which a condition of a test must come to hold, in ms. */
const PATIENCE = 25_000;
const LOOK_INTERVAL = 50;

/** Waits until a condition holds; fails after 25 s. */
export async function eventually(
  check: () => boolean | Promise<boolean>,
): Promise<void> {
  const until = performance.now() + PATIENCE;
  while (!await check()) {
    if (performance.now() > until) {
      throw new Error(`The condition didn't come to hold in ${PATIENCE} ms.`);
    }
    await new Promise((resolve) => setTimeout(resolve, LOOK_INTERVAL));
  }
}
