import type { ServerResponse } from "node:http";
import { byteLimits } from "../../common/byte_limits.ts";
import { ResponseFraming } from "../../common/response_framing.ts";
import type { CallerRequest } from "../caller_request.ts";
import type { ForwardContext } from "../forward_context.ts";
import { passOnBody } from "../responses/pass_on_body.ts";
import type { AttemptResult } from "./attempt_result.ts";
import { readAttemptBody } from "./read_attempt_body.ts";

/** What became of the body of an attempt's response. */
type TakenBody =
  /** It is complete and held until `release` is called. */
  | {
    readonly kind: "held";
    readonly body: Buffer;
    /** Whether its bytes are counted until `release` is called. */
    readonly isCounted: boolean;
    readonly release: () => void;
  }
  /** It was passed on to the caller while it arrived. */
  | { readonly kind: "passed_on"; readonly isWhole: boolean }
  | { readonly kind: "cut_off" };

/**
 * Reads the body of an attempt's response. A long body that states its length
 * is passed on as it arrives if there is no room to hold it.
 */
export async function takeBody(
  result: Extract<AttemptResult, { kind: "head" }>,
  { call, response, context }: {
    call: CallerRequest;
    response: ServerResponse;
    context: ForwardContext;
  },
): Promise<TakenBody> {
  const length = statedLength(result);
  const isCounted = length > byteLimits.uncounted && length <= byteLimits.body;
  const hold = isCounted
    ? context.bodies.withLength.tryHold(length)
    : undefined;
  if (isCounted && hold === undefined) {
    const isWhole = await passOnBody(result, {
      call,
      response,
      context,
      length,
    });
    return { kind: "passed_on", isWhole };
  }
  const release = () => hold?.release();
  const body = await readAttemptBody(result, {
    held: context.bodies.held,
    isLengthCounted: true,
  });
  if (body === undefined) {
    release();
    return { kind: "cut_off" };
  }
  return { kind: "held", body, isCounted, release };
}

/** Bytes that follow according to the head; 0 if it doesn't say. */
function statedLength(
  { message, framing }: Extract<AttemptResult, { kind: "head" }>,
): number {
  return framing === ResponseFraming.bodiless
    ? 0
    : Number(message.headers["content-length"] ?? 0);
}
