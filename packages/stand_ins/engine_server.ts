import type { IncomingMessage, ServerResponse } from "node:http";
import { createToken } from "@heroncleat/base";
import { crashIfBodyContains } from "./crash_if_body_contains.ts";
import { ModelEngine } from "./model_engine.ts";
import { parseGeneration } from "./parse_generation.ts";
import { readBody } from "./read_body.ts";
import { StandInBehaviour } from "./stand_in_behaviour.ts";

/** Tokens sent before an interrupted response ends. */
const TRUNCATED_TOKENS = 3;

/**
 * Serves the OpenAI-compatible API of an engine, streaming only.
 *
 * @internal
 */
export class EngineServer {
  readonly engine: ModelEngine;
  behaviour: typeof StandInBehaviour[keyof typeof StandInBehaviour] =
    StandInBehaviour.normal;

  readonly #crashOn: string | undefined;

  constructor(engine: ModelEngine, crashOn?: string) {
    this.engine = engine;
    this.#crashOn = crashOn;
  }

  async handle(
    request: IncomingMessage,
    response: ServerResponse,
  ): Promise<void> {
    const text = await readBody(request);
    if (crashIfBodyContains(this.#crashOn, text)) {
      return;
    }
    const body = JSON.parse(text);
    if (this.#sendRefusal(request, response)) {
      return;
    }
    const chat = request.url === "/v1/chat/completions";
    const id = createToken();
    response.on("close", () => this.engine.cancel(id));
    response.writeHead(200, { "content-type": "text/event-stream" });
    let sent = 0;
    this.engine.submit({
      id,
      ...parseGeneration(body),
      onToken: (text) => {
        sent += 1;
        const isInterrupted = this.behaviour === StandInBehaviour.truncate ||
          this.behaviour === StandInBehaviour.cut;
        if (isInterrupted && sent > TRUNCATED_TOKENS) {
          this.#interrupt(id, response);
          return;
        }
        if (this.behaviour !== StandInBehaviour.stall) {
          response.write(formatChunk({ chat, id, text }));
        }
      },
      onEnd: (end) => {
        response.write(formatEnd({ chat, id, reason: end.reason }));
        response.write(formatUsage({ chat, id, end }));
        response.end("data: [DONE]\n\n");
      },
    });
  }

  #sendRefusal(request: IncomingMessage, response: ServerResponse): boolean {
    if (this.behaviour === StandInBehaviour.refuse) {
      const attempt = String(request.headers["heroncleat-attempt"] ?? "");
      response.writeHead(503, { "heroncleat-not-run": attempt });
      response.end("{}");
      return true;
    }
    if (this.behaviour === StandInBehaviour.fail) {
      response.writeHead(503);
      response.end("{}");
      return true;
    }
    return false;
  }

  #interrupt(id: string, response: ServerResponse): void {
    this.engine.cancel(id);
    if (this.behaviour === StandInBehaviour.cut) {
      response.destroy();
    } else {
      response.end();
    }
  }
}

/** Identifies the response that an event belongs to. */
type EventTarget = { readonly chat: boolean; readonly id: string };

function formatChunk(target: EventTarget & { text: string }): string {
  const { chat, id, text } = target;
  const choice = chat
    ? { index: 0, delta: { content: text }, finish_reason: null }
    : { index: 0, text, finish_reason: null };
  return formatEvent({ id, choices: [choice] });
}

function formatEnd(target: EventTarget & { reason: string }): string {
  const { chat, id, reason } = target;
  const choice = chat
    ? { index: 0, delta: {}, finish_reason: reason }
    : { index: 0, text: "", finish_reason: reason };
  return formatEvent({ id, choices: [choice] });
}

function formatUsage(
  target: EventTarget & {
    end: { promptTokens: number; cachedTokens: number; tokens: number };
  },
): string {
  const { id, end } = target;
  return formatEvent({
    id,
    choices: [],
    usage: {
      prompt_tokens: end.promptTokens,
      completion_tokens: end.tokens,
      prompt_tokens_details: { cached_tokens: end.cachedTokens },
    },
  });
}

function formatEvent(value: unknown): string {
  return `data: ${JSON.stringify(value)}\n\n`;
}
