import type { Milliseconds } from "@heroncleat/base";
import type { ReceivedRun } from "./received_run.ts";

/** Time in which an entry handles a signal. */
const HANDLING_TIME: Milliseconds = 100;

/** Whether a request was first sent to an upstream after a signal to stop. */
export function wasTakenAfter(
  { firstAt }: ReceivedRun,
  signalledAt: Milliseconds,
): boolean {
  return firstAt >= signalledAt + HANDLING_TIME;
}
