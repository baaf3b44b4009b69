import type { ServerResponse } from "node:http";
import type { OwnAnswer } from "./own_answer.ts";

/** Sends an answer of the entry's own, once. */
export function sendOwnAnswer(
  response: ServerResponse,
  answer: OwnAnswer,
): void {
  if (response.headersSent || response.destroyed) {
    return;
  }
  const body = JSON.stringify({ error: answer.message });
  const headers: Record<string, string> = {
    "Content-Type": "application/json",
    "Content-Length": String(Buffer.byteLength(body)),
  };
  if (answer.retryAfter !== undefined) {
    headers["Retry-After"] = (answer.retryAfter / 1000).toFixed(2);
  }
  response.writeHead(answer.status, headers);
  response.end(body);
}
