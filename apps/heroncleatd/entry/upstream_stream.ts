import type { Agent, IncomingMessage } from "node:http";
import type { Clock, Milliseconds } from "@heroncleat/base";
import { createParser, type EventSourceMessage } from "eventsource-parser";
import { byteLimits } from "../common/byte_limits.ts";
import { discardBody } from "../common/discard_body.ts";
import { EndlessBytes } from "../common/endless_bytes.ts";
import { EndlessShape } from "../common/endless_shape.ts";
import type { HeldBytes } from "../common/held_bytes.ts";
import { openResponse } from "../common/open_response.ts";
import { EventSplitter } from "../gateway/streams/event_splitter.ts";
import { limitEvents } from "../gateway/streams/limit_events.ts";

/** Reason why a stream is incomplete. */
type StreamFailure = {
  readonly message: string;
  /** Whether an open connection closed before the response was complete. */
  readonly isBroken: boolean;
};

/** Callbacks of a stream, called in order. */
type StreamHandlers = {
  /** Called with the head of the response, whatever its status. */
  readonly onHead: (
    head: Pick<IncomingMessage, "statusCode" | "headersDistinct">,
  ) => void;
  readonly onChunk: (index: number, text: string) => void;
  /**
   * Called before the end of a stream whose connection was closed, as it
   * exceeded a limit.
   */
  readonly onEndless: (exceeded: EndlessBytes) => void;
  /** Called when the upstream ended the stream after `chunkCount` chunks. */
  readonly onFinished: (chunkCount: number, reason: string) => void;
  /** Called when the stream broke or could not be opened. */
  readonly onFailed: (failure: StreamFailure) => void;
};

type StreamOptions = {
  readonly agent: Agent;
  readonly address: string;
  readonly path: string;
  readonly body: Record<string, unknown>;
  readonly attempt: string;
  readonly connectTimeout: Milliseconds;
  /** Tokens that may be generated; undefined if the caller stated no limit. */
  readonly maxTokens: number | undefined;
  /** What all unfinished responses hold. */
  readonly heldBytes: HeldBytes;
  readonly clock: Pick<Clock, "steady">;
  /** Whether to send the request, asked once there is a connection. */
  readonly maySend: () => boolean;
  readonly handlers: StreamHandlers;
};

/** The fields of an engine's event that are read. */
type EngineEvent = {
  readonly choices?: readonly {
    readonly delta?: { readonly content?: string | null };
    readonly text?: string;
    readonly finish_reason?: string | null;
  }[];
};

const END_EVENT_DATA = "[DONE]";
/** Codes of errors of Node's parser. */
const PARSER_ERROR = "HPE_";
const MISSING_END_MESSAGE = "the stream ended without the [DONE] event";
/** Finish reason of a generation that has all tokens it asked for. */
const LENGTH_REASON = "length";

/**
 * One streamed generation at an upstream. A response is complete only if the
 * engine sent a finish reason and the `[DONE]` event, or more tokens than the
 * request allows.
 */
export class UpstreamStream {
  readonly #options: StreamOptions;
  readonly #abort = new AbortController();
  #chunkCount = 0;
  #textLength = 0;
  #finishReason = "";
  #isEnded = false;

  constructor(options: StreamOptions) {
    this.#options = options;
    void this.#run();
  }

  /** Cancels the generation; no handler is called afterwards. */
  cancel(): void {
    // Aborting closes the connection. After a finished stream the connection
    // stays open for reuse.
    if (!this.#isEnded) {
      this.#isEnded = true;
      this.#abort.abort();
    }
  }

  async #run(): Promise<void> {
    const opened = await this.#open();
    if (opened.kind === "withdrawn") {
      this.#fail("the upstream asked for rest", false);
      return;
    }
    if (opened.kind === "failed") {
      this.#onError(opened.error, opened.isConnected);
      return;
    }
    const { message } = opened;
    this.#options.handlers.onHead(message);
    if (message.statusCode !== 200) {
      message.destroy();
      this.#fail(`the upstream returned status ${message.statusCode}`, false);
      return;
    }
    try {
      await this.#read(message);
      this.#fail(MISSING_END_MESSAGE, true);
    } catch (error) {
      this.#onError(error as Error, true);
    }
  }

  #open(): ReturnType<typeof openResponse> {
    const { agent, address, path, attempt, connectTimeout, maySend } =
      this.#options;
    const body = Buffer.from(JSON.stringify(this.#options.body));
    return openResponse({
      address,
      agent,
      method: "POST",
      path,
      headers: [
        "host",
        address,
        "content-type",
        "application/json",
        "content-length",
        String(body.length),
        "accept",
        "text/event-stream",
        "heroncleat-attempt",
        attempt,
      ],
      body,
      connectTimeout,
      signal: this.#abort.signal,
      maySend,
    });
  }

  #onError(error: NodeJS.ErrnoException, isConnected: boolean): void {
    const isEndless = error instanceof EndlessBytes;
    if (isEndless && !this.#isEnded) {
      this.#options.handlers.onEndless(error);
    }
    const isUnreadable = error instanceof SyntaxError ||
      error.code?.startsWith(PARSER_ERROR) === true;
    const isBroken = isConnected && !isEndless && !isUnreadable;
    this.#fail(error.message, isBroken);
  }

  /** Resolves when the response ends; rejects if it isn't complete. */
  #read(message: IncomingMessage): Promise<void> {
    // It may have failed in the same read as its head, before anyone listened.
    if (message.destroyed) {
      return Promise.reject(message.errored ?? new Error(MISSING_END_MESSAGE));
    }
    const parser = createParser({
      onEvent: (event) => this.#onEvent(event, message),
    });
    const splitter = new EventSplitter();
    let chunksBefore = 0;
    const checkLimits = limitEvents(message, {
      ...this.#options,
      splitter,
      isProgress: () => this.#chunkCount > chunksBefore,
    });
    message.on("data", (bytes: Buffer) => {
      if (this.#isEnded) {
        return;
      }
      chunksBefore = this.#chunkCount;
      const events = splitter.push(bytes);
      try {
        parser.feed(events?.bytes.toString("utf8") ?? "");
      } catch (error) {
        message.destroy(error as Error);
        return;
      }
      checkLimits(events);
    });
    return new Promise((resolve, reject) => {
      message.once("end", resolve);
      message.once("error", reject);
      message.once("close", () => reject(new Error(MISSING_END_MESSAGE)));
    });
  }

  #onEvent(event: EventSourceMessage, message: IncomingMessage): void {
    if (this.#isEnded) {
      return;
    }
    if (event.data === END_EVENT_DATA) {
      this.#finish();
      discardBody(message);
      return;
    }
    const value = JSON.parse(event.data) as EngineEvent;
    const choice = value.choices?.[0];
    const text = choice?.delta?.content ?? choice?.text ?? "";
    if (text !== "") {
      this.#addText(text, message);
    }
    this.#finishReason = choice?.finish_reason ?? this.#finishReason;
  }

  #addText(text: string, message: IncomingMessage): void {
    const { maxTokens, handlers } = this.#options;
    // Engines send one token or more in each chunk.
    const maxChunks = maxTokens ?? byteLimits.generatedTokens;
    const maxLength = Math.min(
      byteLimits.generatedText,
      byteLimits.generatedTextBase + maxChunks * byteLimits.textPerToken,
    );
    this.#textLength += text.length;
    if (this.#textLength > maxLength) {
      message.destroy(
        new EndlessBytes({
          shape: EndlessShape.generatedText,
          bytes: this.#textLength,
          limit: maxLength,
        }),
      );
      return;
    }
    if (this.#chunkCount >= maxChunks) {
      handlers.onEndless(
        new EndlessBytes({
          shape: EndlessShape.generatedTokens,
          bytes: this.#chunkCount + 1,
          limit: maxChunks,
        }),
      );
      this.#finishReason = LENGTH_REASON;
      this.#finish();
      message.destroy();
      return;
    }
    handlers.onChunk(this.#chunkCount, text);
    this.#chunkCount += 1;
  }

  #finish(): void {
    if (this.#finishReason === "") {
      this.#fail("the stream ended without a finish reason", false);
      return;
    }
    this.#isEnded = true;
    this.#options.handlers.onFinished(this.#chunkCount, this.#finishReason);
  }

  #fail(message: string, isBroken: boolean): void {
    if (!this.#isEnded) {
      this.#isEnded = true;
      this.#options.handlers.onFailed({ message, isBroken });
    }
  }
}
