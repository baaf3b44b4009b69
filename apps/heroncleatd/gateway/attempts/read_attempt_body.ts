import type { HeldBytes } from "../../common/held_bytes.ts";
import { ResponseFraming } from "../../common/response_framing.ts";
import type { AttemptResult } from "./attempt_result.ts";
import { readResponseBody } from "../responses/read_response_body.ts";

/**
 * Reads the body of an attempt's response; undefined if it is known to be
 * incomplete.
 */
export async function readAttemptBody(
  { message, framing, hasCrashed }: Extract<AttemptResult, { kind: "head" }>,
  { held, isLengthCounted }: { held: HeldBytes; isLengthCounted: boolean },
): Promise<Buffer | undefined> {
  const body = await readResponseBody(message, { held, isLengthCounted });
  const isCutOff = framing === ResponseFraming.connectionEnd &&
    body !== undefined && await hasCrashed();
  return isCutOff ? undefined : body;
}
