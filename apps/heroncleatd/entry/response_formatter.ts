import type { RequestRecord, TextPiece } from "@heroncleat/schema";

const MS_PER_SECOND = 1000;

/** Identifies the response that an event or a body belongs to. */
type ResponseHead = {
  readonly record: RequestRecord;
  /** Wall-clock time of the response, in ms. */
  readonly at: number;
};

/** Formats responses in the format of the OpenAI API. */
export const responseFormatter = {
  /** Formats one streamed chunk; the event ID is the chunk's index. */
  chunk({ record, at }: ResponseHead, chunk: TextPiece): string {
    const choice = record.kind === "chat"
      ? {
        index: 0,
        delta: chunk.index === 0
          ? { role: "assistant", content: chunk.text }
          : { content: chunk.text },
        finish_reason: null,
      }
      : { index: 0, text: chunk.text, finish_reason: null };
    const data = {
      ...createCommonFields({ record, at }, true),
      choices: [choice],
    };
    return `id: ${chunk.index}\ndata: ${JSON.stringify(data)}\n\n`;
  },

  /** Formats the finish reason and the end of a stream. */
  end({ record, at }: ResponseHead, reason: string): string {
    const choice = record.kind === "chat"
      ? { index: 0, delta: {}, finish_reason: reason }
      : { index: 0, text: "", finish_reason: reason };
    const data = {
      ...createCommonFields({ record, at }, true),
      choices: [choice],
    };
    return `data: ${JSON.stringify(data)}\n\ndata: [DONE]\n\n`;
  },

  /** Builds the body of a complete response that isn't streamed. */
  complete(
    { record, at }: ResponseHead,
    options: { pieces: readonly TextPiece[]; reason: string },
  ): Record<string, unknown> {
    const text = options.pieces.map((chunk) => chunk.text).join("");
    let tokens = 0;
    for (const chunk of options.pieces) {
      tokens += chunk.tokens;
    }
    const choice = record.kind === "chat"
      ? { index: 0, message: { role: "assistant", content: text } }
      : { index: 0, text };
    return {
      ...createCommonFields({ record, at }, false),
      choices: [{ ...choice, finish_reason: options.reason }],
      usage: {
        prompt_tokens: record.promptTokens,
        completion_tokens: tokens,
        total_tokens: record.promptTokens + tokens,
      },
    };
  },
};

function createCommonFields(
  { record, at }: ResponseHead,
  streamed: boolean,
): Record<string, unknown> {
  const chat = streamed ? "chat.completion.chunk" : "chat.completion";
  return {
    id: record.id,
    object: record.kind === "chat" ? chat : "text_completion",
    created: Math.floor(at / MS_PER_SECOND),
    model: record.model,
  };
}
