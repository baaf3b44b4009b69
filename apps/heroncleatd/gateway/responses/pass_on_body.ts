import type { ServerResponse } from "node:http";
import type { AttemptResult } from "../attempts/attempt_result.ts";
import type { CallerRequest } from "../caller_request.ts";
import type { ForwardContext } from "../forward_context.ts";
import { forwardHeaders } from "../forward_headers.ts";
import { relayResponseHeaders } from "../relay/relay_response_headers.ts";
import { endResponse } from "./end_response.ts";
import { relayBody } from "./relay_body.ts";

/**
 * Passes on a response of a stated length while it arrives, as fast as its
 * caller reads. One that isn't complete is left open.
 *
 * @returns Whether it is complete.
 */
export async function passOnBody(
  { message, upstream }: Extract<AttemptResult, { kind: "head" }>,
  { call, response, context, length }: {
    call: CallerRequest;
    response: ServerResponse;
    context: ForwardContext;
    length: number;
  },
): Promise<boolean> {
  context.metrics.increment("gateway.bodies_passed_on");
  context.log.info("Passes on a body as it arrives, as too much is held", {
    request: call.attempt,
    upstream,
    length,
    held: context.bodies.withLength.held,
  });
  if (response.destroyed) {
    message.destroy();
    return false;
  }
  response.writeHead(message.statusCode!, [
    ...forwardHeaders.toCaller(message.rawHeaders),
    ...relayResponseHeaders(call, { upstream }),
    "Content-Length",
    String(length),
  ]);
  const isWhole = await relayBody(message, {
    response,
    transform: (bytes) => {
      const now = context.clock.steady();
      call.progress.recordReceived(now);
      call.progress.recordPassedOn(now);
      return bytes;
    },
  });
  if (isWhole) {
    await endResponse(response, Buffer.alloc(0));
  }
  return isWhole;
}
