import type { Agent } from "node:http";
import type { Milliseconds } from "@heroncleat/base";
import { byteLimits } from "../common/byte_limits.ts";
import { discardBody } from "../common/discard_body.ts";
import { openResponse } from "../common/open_response.ts";
import { readResponseBody } from "../gateway/responses/read_response_body.ts";

type OrderOutcome = {
  readonly succeeded: boolean;
  /** Why it failed. */
  readonly message?: string;
};

/** Sends an order to the HTTP API of an upstream once. */
export async function sendOrder(
  order: {
    agent: Agent;
    /** host:port */
    address: string;
    path: string;
    body: Readonly<Record<string, string>>;
    fencingNumber: number;
    timeout: Milliseconds;
  },
): Promise<OrderOutcome> {
  const { address, timeout } = order;
  const body = Buffer.from(JSON.stringify(order.body));
  const opened = await openResponse({
    address,
    agent: order.agent,
    method: "POST",
    path: order.path,
    headers: [
      "host",
      address,
      "content-type",
      "application/json",
      "content-length",
      String(body.length),
      "heroncleat-fencing",
      String(order.fencingNumber),
    ],
    body,
    connectTimeout: timeout,
    signal: AbortSignal.timeout(timeout),
  });
  if (opened.kind !== "head") {
    const message = opened.kind === "failed"
      ? opened.error.message
      : "the order wasn't sent";
    return { succeeded: false, message };
  }
  const { message } = opened;
  const status = message.statusCode!;
  if (status < 300) {
    discardBody(message);
    return { succeeded: true };
  }
  const text = await readResponseBody(message, { limit: byteLimits.discarded });
  return {
    succeeded: false,
    message: `${status} ${text?.toString("utf8") ?? ""}`.trimEnd(),
  };
}
