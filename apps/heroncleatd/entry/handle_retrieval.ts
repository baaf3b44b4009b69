import { createFault } from "@heroncleat/base";
import { sendFault } from "../common/send_fault.ts";
import type { CallerRequest } from "./caller_request.ts";
import type { EntryParts } from "./entry_parts.ts";
import { sendResponse } from "./send_response.ts";

/**
 * Sends a response, or its remainder after `Last-Event-ID`, to a caller that
 * reconnects.
 */
export async function handleRetrieval(
  parts: EntryParts,
  call: CallerRequest,
  id: string,
): Promise<void> {
  const lastEventId = call.request.headers["last-event-id"];
  const from = lastEventId === undefined ? 0 : Number(lastEventId) + 1;
  if (!Number.isInteger(from) || from < 0) {
    sendFault(
      call.response,
      createFault(
        "bad_request",
        "Last-Event-ID is not an event ID of this response. Remedy: send the " +
          "last received ID, or omit the header to get the complete response.",
      ),
    );
    return;
  }
  const { clock, entry } = parts.context;
  const deadlineAt = clock.now() + entry.default_deadline;
  await sendResponse(parts, call, { id, from, deadlineAt });
}
