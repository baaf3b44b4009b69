import type { IncomingMessage } from "node:http";

const TEXT_EVENT_STREAM = "text/event-stream";

/** Whether a response is a success whose body is a stream of events. */
export function isEventStream(message: IncomingMessage): boolean {
  const type = message.headers["content-type"] ?? "";
  const status = message.statusCode ?? 0;
  return status >= 200 && status < 300 && type.startsWith(TEXT_EVENT_STREAM);
}
