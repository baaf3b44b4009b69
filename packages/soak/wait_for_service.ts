import type { Milliseconds } from "@heroncleat/base";
import { pause } from "./pause.ts";

const START_TIMEOUT: Milliseconds = 20_000;
const CHECK_INTERVAL: Milliseconds = 100;

/** Waits until a check holds while a deployment starts; throws after 20 s. */
export async function waitForService(
  check: () => Promise<boolean>,
  { what, folder }: { what: string; folder: string },
): Promise<void> {
  const until = performance.now() + START_TIMEOUT;
  while (!await check()) {
    if (performance.now() > until) {
      throw new Error(
        `${what} took longer than ${START_TIMEOUT} ms. Remedy: read the ` +
          `logs in ${folder}.`,
      );
    }
    await pause(CHECK_INTERVAL);
  }
}
