import { setTimeout as pause } from "node:timers/promises";
import type { Milliseconds } from "./milliseconds.ts";

/** Default grace period, for which a process that is replaced may still listen. */
const WAIT_TIME: Milliseconds = 8000;
const RETRY_INTERVAL: Milliseconds = 50;

type WaitOptions = {
  /** Listens on the address; rejects with the error of the attempt. */
  readonly listen: () => Promise<void>;
  /** Called once, with a message for the log, if the address is in use. */
  readonly onWait: (message: string) => void;
};

/**
 * Listens on an address. One that is in use is waited for, as its previous
 * process may be about to end; rejects if that takes too long.
 *
 * @public
 */
export async function waitForAddress(
  address: string,
  { listen, onWait }: WaitOptions,
): Promise<void> {
  const waitsUntil = performance.now() + WAIT_TIME;
  let isWaiting = false;
  for (;;) {
    try {
      await listen();
      return;
    } catch (error) {
      const { code } = error as NodeJS.ErrnoException;
      if (code !== "EADDRINUSE" || performance.now() >= waitsUntil) {
        throw error;
      }
    }
    if (!isWaiting) {
      isWaiting = true;
      onWait(
        `${address} is in use; waits ${
          WAIT_TIME / 1000
        } s for it. Remedy: end ` +
          "the process that listens there.",
      );
    }
    await pause(RETRY_INTERVAL);
  }
}
