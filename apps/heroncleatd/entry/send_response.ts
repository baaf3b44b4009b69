import type { ServerResponse } from "node:http";
import { createFault, type Milliseconds } from "@heroncleat/base";
import type {
  ForwardedAnswer,
  RequestRecord,
  TextPiece,
} from "@heroncleat/schema";
import { sendFault } from "../common/send_fault.ts";
import { sendJson } from "../common/send_json.ts";
import type { CallerRequest } from "./caller_request.ts";
import type { EntryParts } from "./entry_parts.ts";
import { listOtherEntries } from "./list_other_entries.ts";
import { responseFormatter } from "./response_formatter.ts";

/** The response to send, its first chunk and the deadline. */
type ResponsePosition = {
  readonly id: string;
  readonly from: number;
  readonly deadlineAt: Milliseconds;
  /** Whether the caller has just sent the request. */
  readonly isNew?: boolean;
};

/** Reason why a stream ended. */
type StreamEnd = "whole" | "lost" | "caller_gone" | "moved";

const RECONNECT_DELAY_MS = 100;

/**
 * Sends a response to its caller while it is generated. Backpressure applies:
 * chunks are read only when the connection accepts them.
 */
export async function sendResponse(
  parts: EntryParts,
  call: CallerRequest,
  position: ResponsePosition,
): Promise<void> {
  const first = await readNext(parts, call, position);
  if (!first.found || first.record === undefined) {
    const fault = position.isNew ? createEndedFault() : createNotFoundFault();
    sendFault(call.response, fault);
    return;
  }
  call.response.setHeader("heroncleat-request", position.id);
  call.response.setHeader("heroncleat-upstream", first.upstream);
  if (first.record.stream) {
    await sendStream(parts, call, { position, first, record: first.record });
  } else {
    await sendComplete(parts, call, { position, first, record: first.record });
  }
}

function readNext(
  parts: EntryParts,
  call: CallerRequest,
  position: ResponsePosition,
): Promise<ForwardedAnswer> {
  const { id, from, deadlineAt } = position;
  const { workspace } = call;
  return parts.responses.read({ id, workspace, from }, deadlineAt);
}

/** First reply of a read, with the position it was read at. */
type ResponseStart = {
  readonly position: ResponsePosition;
  readonly first: ForwardedAnswer;
  readonly record: RequestRecord;
};

async function sendStream(
  parts: EntryParts,
  call: CallerRequest,
  start: ResponseStart,
): Promise<void> {
  const { response } = call;
  response.writeHead(200, {
    "content-type": "text/event-stream",
    "cache-control": "no-store",
  });
  const end = await writeChunks(parts, call, start);
  if (end === "lost") {
    writeError(response, parts);
  }
  if (end === "moved") {
    response.write(`retry: ${RECONNECT_DELAY_MS}\n: continue elsewhere\n\n`);
  }
  response.end();
}

async function writeChunks(
  parts: EntryParts,
  call: CallerRequest,
  start: ResponseStart,
): Promise<StreamEnd> {
  const { response } = call;
  const { record, position } = start;
  const head = { record, at: parts.context.clock.wall() };
  let reply = start.first;
  let from = position.from;
  while (true) {
    for (const chunk of reply.pieces) {
      response.write(responseFormatter.chunk(head, chunk));
    }
    from += reply.pieces.length;
    if (reply.finished) {
      response.write(responseFormatter.end(head, reply.finishReason));
      return "whole";
    }
    await waitForDrain(response);
    if (response.destroyed) {
      return "caller_gone";
    }
    if (parts.isShuttingDown() && !reply.found) {
      return "moved";
    }
    if (parts.context.clock.now() >= position.deadlineAt) {
      return "lost";
    }
    reply = await readNext(parts, call, { ...position, from });
    if (!reply.found) {
      return parts.isShuttingDown() ? "moved" : "lost";
    }
  }
}

async function sendComplete(
  parts: EntryParts,
  call: CallerRequest,
  start: ResponseStart,
): Promise<void> {
  const { record, position } = start;
  const chunks: TextPiece[] = [];
  let reply = start.first;
  while (true) {
    chunks.push(...reply.pieces);
    if (reply.finished) {
      const head = { record, at: parts.context.clock.wall() };
      const reason = reply.finishReason;
      sendJson(
        call.response,
        200,
        responseFormatter.complete(head, { pieces: chunks, reason }),
      );
      return;
    }
    const isLate = parts.context.clock.now() >= position.deadlineAt;
    if (call.response.destroyed) {
      return;
    }
    if (!reply.found || isLate) {
      sendFault(call.response, createIncompleteFault(), {
        entries: listOtherEntries(parts),
      });
      return;
    }
    reply = await readNext(parts, call, {
      ...position,
      from: position.from + chunks.length,
    });
  }
}

/** Resolves when the connection accepts more data or is closed. */
function waitForDrain(response: ServerResponse): Promise<void> {
  if (!response.writableNeedDrain || response.destroyed) {
    return Promise.resolve();
  }
  return new Promise((resolve) => {
    const done = () => {
      response.off("drain", done);
      response.off("close", done);
      resolve();
    };
    response.once("drain", done);
    response.once("close", done);
  });
}

function writeError(response: ServerResponse, parts: EntryParts): void {
  const { kind, message, run } = createIncompleteFault();
  const error = { kind, message, run, entries: listOtherEntries(parts) };
  response.write(`event: error\ndata: ${JSON.stringify({ error })}\n\n`);
}

function createIncompleteFault() {
  return createFault(
    "upstream_failed",
    "The response was incomplete at the deadline. Remedy: fetch " +
      "/v1/requests/ID again, or send the request with a later deadline.",
    { run: "unknown" },
  );
}

/** For a request that was accepted and ended before its first token. */
function createEndedFault() {
  return createFault(
    "upstream_failed",
    "All upstreams that ran the request failed before its first token. " +
      "Remedy: send it again, or change it if that happens repeatedly.",
    { run: "unknown" },
  );
}

function createNotFoundFault() {
  return createFault(
    "not_found",
    "No entry holds this response for your workspace. Remedy: check the " +
      "ID; responses are kept for a short time after they finish.",
    { run: "unknown" },
  );
}
