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
import { formatAnswer } from "./format_answer.ts";
import { otherEntries } from "./other_entries.ts";

/** Which answer is sent, and from where on. */
type AnswerPosition = {
  readonly id: string;
  readonly from: number;
  readonly until: Milliseconds;
};

/** How a stream came to its end. */
type StreamEnd = "whole" | "lost" | "caller_gone" | "moved";

const RECONNECT_DELAY = 100;

/**
 * Sends an answer to its caller as it comes, at the caller's pace: pieces are
 * read only when the connection can take them.
 */
export async function sendAnswer(
  parts: EntryParts,
  call: CallerRequest,
  position: AnswerPosition,
): Promise<void> {
  const first = await read(parts, call, position);
  if (!first.found || first.record === undefined) {
    sendFault(call.response, describeNotFound());
    return;
  }
  call.response.setHeader("heroncleat-request", position.id);
  call.response.setHeader("heroncleat-upstream", first.upstream);
  if (first.record.stream) {
    await sendStream(parts, call, { position, first, record: first.record });
  } else {
    await sendWhole(parts, call, { position, first, record: first.record });
  }
}

function read(
  parts: EntryParts,
  call: CallerRequest,
  position: AnswerPosition,
): Promise<ForwardedAnswer> {
  const { id, from, until } = position;
  const { workspace } = call;
  return parts.answers.read({ id, workspace, from }, until);
}

/** What both ways of sending start from. */
type Opening = {
  readonly position: AnswerPosition;
  readonly first: ForwardedAnswer;
  readonly record: RequestRecord;
};

async function sendStream(
  parts: EntryParts,
  call: CallerRequest,
  opening: Opening,
): Promise<void> {
  const { response } = call;
  response.writeHead(200, {
    "content-type": "text/event-stream",
    "cache-control": "no-store",
  });
  const end = await writePieces(parts, call, opening);
  if (end === "lost") {
    writeError(response, parts);
  }
  if (end === "moved") {
    response.write(`retry: ${RECONNECT_DELAY}\n: continue elsewhere\n\n`);
  }
  response.end();
}

async function writePieces(
  parts: EntryParts,
  call: CallerRequest,
  opening: Opening,
): Promise<StreamEnd> {
  const { response } = call;
  const { record, position } = opening;
  const head = { record, at: parts.context.clock.wall() };
  let answer = opening.first;
  let from = position.from;
  while (true) {
    for (const piece of answer.pieces) {
      response.write(formatAnswer.piece(head, piece));
    }
    from += answer.pieces.length;
    if (answer.finished) {
      response.write(formatAnswer.end(head, answer.finishReason));
      return "whole";
    }
    await drained(response);
    if (response.destroyed) {
      return "caller_gone";
    }
    if (parts.isLeaving() && !answer.found) {
      return "moved";
    }
    if (parts.context.clock.now() >= position.until) {
      return "lost";
    }
    answer = await read(parts, call, { ...position, from });
    if (!answer.found) {
      return parts.isLeaving() ? "moved" : "lost";
    }
  }
}

async function sendWhole(
  parts: EntryParts,
  call: CallerRequest,
  opening: Opening,
): Promise<void> {
  const { record, position } = opening;
  const pieces: TextPiece[] = [];
  let answer = opening.first;
  while (true) {
    pieces.push(...answer.pieces);
    if (answer.finished) {
      const head = { record, at: parts.context.clock.wall() };
      const reason = answer.finishReason;
      sendJson(
        call.response,
        200,
        formatAnswer.whole(head, { pieces, reason }),
      );
      return;
    }
    const late = parts.context.clock.now() >= position.until;
    if (call.response.destroyed) {
      return;
    }
    if (!answer.found || late) {
      sendFault(call.response, describeLost(), {
        entries: otherEntries(parts),
      });
      return;
    }
    answer = await read(parts, call, {
      ...position,
      from: position.from + pieces.length,
    });
  }
}

/** Resolves once the connection takes more, or is gone. */
function drained(response: ServerResponse): Promise<void> {
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
  const { kind, message, run } = describeLost();
  const error = { kind, message, run, entries: otherEntries(parts) };
  response.write(`event: error\ndata: ${JSON.stringify({ error })}\n\n`);
}

function describeLost() {
  return createFault(
    "upstream_failed",
    "The answer did not come whole before the deadline. Remedy: fetch " +
      "/v1/requests/ID again, or send the request with a later deadline.",
    { run: "unknown" },
  );
}

function describeNotFound() {
  return createFault(
    "not_found",
    "No entry holds this answer for your workspace. Remedy: check the " +
      "identifier; answers are kept for a short time after their end.",
    { run: "unknown" },
  );
}
