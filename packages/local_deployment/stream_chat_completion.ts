import { createParser, type EventSourceMessage } from "eventsource-parser";
import { type Dispatcher, request } from "undici";
import type { StreamedChatCompletion } from "./streamed_chat_completion.ts";

type StreamOptions = {
  /** Caller addresses; the next one is used when a connection breaks. */
  readonly entries: readonly string[];
  readonly key: string;
  readonly body: Readonly<Record<string, unknown>>;
  readonly headers?: Readonly<Record<string, string>>;
  /** Milliseconds for the complete response. */
  readonly timeout?: number;
  /** Called once the request is accepted, before its first chunk. */
  readonly onAccepted?: () => void;
};

/** State of one response across all its connections. */
type Progress = {
  requestId: string;
  text: string;
  nextId: number;
  misplaced: number;
  finishReason: string;
  timeToFirstToken: number;
  lastChunkAt: number;
  readonly startedAt: number;
  readonly gaps: number[];
};

const DEFAULT_TIMEOUT_MS = 60_000;
const RECONNECT_DELAY_MS = 100;

/**
 * Sends a streaming chat request and reads the response to the end. If the
 * connection breaks, it resumes from the next entry with `Last-Event-ID`.
 *
 * @public
 */
export async function streamChatCompletion(
  options: StreamOptions,
): Promise<StreamedChatCompletion> {
  const progress: Progress = {
    requestId: "",
    text: "",
    nextId: 0,
    misplaced: 0,
    finishReason: "",
    timeToFirstToken: 0,
    lastChunkAt: 0,
    startedAt: performance.now(),
    gaps: [],
  };
  const until = performance.now() + (options.timeout ?? DEFAULT_TIMEOUT_MS);
  const first = await open(options).catch(() => undefined);
  if (first !== undefined && first.statusCode !== 200) {
    const refusal = await first.body.text();
    const run = String(first.headers["heroncleat-run"] ?? "");
    const status = first.statusCode;
    return report(progress, { status, run, refusal, reconnects: 0 });
  }
  if (first !== undefined) {
    options.onAccepted?.();
    await read(first, progress).catch(() => undefined);
  }
  let reconnects = 0;
  while (
    progress.finishReason === "" && progress.requestId !== "" &&
    performance.now() < until
  ) {
    reconnects += 1;
    await new Promise((resolve) => setTimeout(resolve, RECONNECT_DELAY_MS));
    await reconnect(options, progress, reconnects).catch(() => undefined);
  }
  const status = first?.statusCode ?? 0;
  return report(progress, { status, run: "", refusal: "", reconnects });
}

function open(options: StreamOptions): Promise<Dispatcher.ResponseData> {
  return request(`http://${entryAt(options, 0)}/v1/chat/completions`, {
    method: "POST",
    headers: {
      authorization: `Bearer ${options.key}`,
      "content-type": "application/json",
      ...options.headers,
    },
    body: JSON.stringify({ ...options.body, stream: true }),
    headersTimeout: 0,
    bodyTimeout: 0,
  });
}

async function reconnect(
  options: StreamOptions,
  progress: Progress,
  connectionIndex: number,
): Promise<void> {
  const id = encodeURIComponent(progress.requestId);
  const headers: Record<string, string> = {
    authorization: `Bearer ${options.key}`,
  };
  if (progress.nextId > 0) {
    headers["last-event-id"] = String(progress.nextId - 1);
  }
  const response = await request(
    `http://${entryAt(options, connectionIndex)}/v1/requests/${id}`,
    { headers, headersTimeout: 10_000, bodyTimeout: 10_000 },
  );
  if (response.statusCode !== 200) {
    await response.body.dump();
    return;
  }
  await read(response, progress);
}

function entryAt(options: StreamOptions, connectionIndex: number): string {
  return options.entries[connectionIndex % options.entries.length]!;
}

async function read(
  response: Dispatcher.ResponseData,
  progress: Progress,
): Promise<void> {
  progress.requestId = String(response.headers["heroncleat-request"]);
  const parser = createParser({
    onEvent: (event) => handleEvent(progress, event),
  });
  const decoder = new TextDecoder();
  for await (const chunk of response.body) {
    parser.feed(decoder.decode(chunk as Buffer, { stream: true }));
  }
}

function handleEvent(progress: Progress, event: EventSourceMessage): void {
  if (event.event === "error" || event.data === "[DONE]") {
    return;
  }
  const choice = JSON.parse(event.data).choices?.[0];
  const text = choice?.delta?.content;
  if (typeof text === "string") {
    recordChunk(progress, { id: Number(event.id), text });
  }
  if (typeof choice?.finish_reason === "string") {
    progress.finishReason = choice.finish_reason;
  }
}

function recordChunk(
  progress: Progress,
  chunk: { id: number; text: string },
): void {
  const now = performance.now();
  if (chunk.id !== progress.nextId) {
    progress.misplaced += 1;
    return;
  }
  if (chunk.id === 0) {
    progress.timeToFirstToken = now - progress.startedAt;
  } else {
    progress.gaps.push(now - progress.lastChunkAt);
  }
  progress.lastChunkAt = now;
  progress.nextId += 1;
  progress.text += chunk.text;
}

function report(
  progress: Progress,
  ending: Pick<
    StreamedChatCompletion,
    "status" | "run" | "refusal" | "reconnects"
  >,
): StreamedChatCompletion {
  const { requestId, text, nextId, misplaced } = progress;
  const { finishReason, timeToFirstToken, gaps } = progress;
  return {
    ...ending,
    requestId,
    text,
    pieces: nextId,
    misplaced,
    finishReason,
    timeToFirstToken,
    gaps,
  };
}
