import type { ServerResponse } from "node:http";
import type { Fault } from "@heroncleat/base";
import type { FaultBody } from "@heroncleat/schema";
import { FAULT_STATUS } from "./fault_status.ts";
import { sendJson } from "./send_json.ts";

const MS_PER_SECOND = 1000;

/** Sends an error response that states whether the request was run. */
export function sendFault(
  response: ServerResponse,
  fault: Fault,
  options: { entries?: readonly string[] } = {},
): void {
  const body: FaultBody = {
    error: { kind: fault.kind, message: fault.message, run: fault.run },
  };
  if (fault.retryAfter !== undefined && !response.headersSent) {
    const seconds = fault.retryAfter / MS_PER_SECOND;
    body.error.retryAfter = seconds;
    // The header allows only whole seconds; the body contains the exact time.
    response.setHeader("retry-after", String(Math.ceil(seconds)));
  }
  if (options.entries !== undefined) {
    body.error.entries = [...options.entries];
  }
  if (!response.headersSent) {
    response.setHeader("heroncleat-run", fault.run);
  }
  sendJson(response, FAULT_STATUS[fault.kind], body);
}
