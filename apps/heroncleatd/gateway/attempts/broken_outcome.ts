import type { IncomingMessage } from "node:http";
import { EndlessBytes } from "../../common/endless_bytes.ts";
import { AttemptOutcome } from "./attempt_outcome.ts";

/** Finds the outcome of an attempt whose body wasn't read to its end. */
export function brokenOutcome(
  { errored }: Pick<IncomingMessage, "errored">,
): AttemptOutcome {
  return errored instanceof EndlessBytes
    ? AttemptOutcome.invalid
    : AttemptOutcome.broken;
}
