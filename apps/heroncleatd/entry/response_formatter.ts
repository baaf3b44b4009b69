import type { RequestRecord, TextPiece } from "@heroncleat/schema";

const MS_PER_SECOND = 1000;

/** Which answer an event or a body belongs to. */
type ResponseHead = {
  readonly record: RequestRecord;
  /** Wall-clock time of the answer, in ms. */
  readonly at: number;
};

/** Writes answers in the OpenAI-compatible form. */
export const responseFormatter = {
  /** One streamed piece; its event id is its index. */
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
    const data = { ...createHead({ record, at }, true), choices: [choice] };
    return `id: ${chunk.index}\ndata: ${JSON.stringify(data)}\n\n`;
  },

  /** The end of a stream. */
  end({ record, at }: ResponseHead, reason: string): string {
    const choice = record.kind === "chat"
      ? { index: 0, delta: {}, finish_reason: reason }
      : { index: 0, text: "", finish_reason: reason };
    const data = { ...createHead({ record, at }, true), choices: [choice] };
    return `data: ${JSON.stringify(data)}\n\ndata: [DONE]\n\n`;
  },

  /** A whole answer that isn't streamed. */
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
      ...createHead({ record, at }, false),
      choices: [{ ...choice, finish_reason: options.reason }],
      usage: {
        prompt_tokens: record.promptTokens,
        completion_tokens: tokens,
        total_tokens: record.promptTokens + tokens,
      },
    };
  },
};

function createHead(
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
