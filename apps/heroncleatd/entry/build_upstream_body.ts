import type { Priority, RequestRecord, TextPiece } from "@heroncleat/schema";

/** Priorities as the engine's scheduler ranks them; lower runs first. */
const PRIORITY_RANK: Readonly<Record<Priority, number>> = {
  icebreaker: 0,
  guest: 1,
  notice: 2,
  draft: 3,
};

/**
 * The fields of a caller's body that are rewritten when a generation resumes.
 */
type CallerBody = {
  readonly prompt?: string;
  readonly messages?: readonly unknown[];
  readonly max_tokens?: number;
};

/**
 * Builds the request body for a model engine: the caller's body with streaming
 * enabled, continued after the chunks that were already generated (vLLM's
 * `continue_final_message`).
 */
export function buildUpstreamBody(
  record: RequestRecord,
  options: { pieces: readonly TextPiece[]; kvSource: string },
): Record<string, unknown> {
  const body = JSON.parse(record.body) as CallerBody;
  const emittedText = options.pieces.map((chunk) => chunk.text).join("");
  const upstreamBody: Record<string, unknown> = {
    ...body,
    stream: true,
    stream_options: { include_usage: true },
    priority: PRIORITY_RANK[record.priority],
  };
  if (body.max_tokens !== undefined) {
    upstreamBody["max_tokens"] = remainingTokens(
      body.max_tokens,
      options.pieces,
    );
  }
  if (options.kvSource !== "") {
    upstreamBody["kv_transfer_params"] = {
      do_remote_prefill: true,
      remote_engine_id: options.kvSource,
      remote_request_id: record.id,
    };
  }
  if (emittedText === "") {
    return upstreamBody;
  }
  if (record.kind === "completion") {
    upstreamBody["prompt"] = `${body.prompt ?? ""}${emittedText}`;
    return upstreamBody;
  }
  upstreamBody["messages"] = [
    ...body.messages ?? [],
    { role: "assistant", content: emittedText },
  ];
  upstreamBody["continue_final_message"] = true;
  upstreamBody["add_generation_prompt"] = false;
  return upstreamBody;
}

function remainingTokens(
  maxTokens: number,
  pieces: readonly TextPiece[],
): number {
  let remaining = maxTokens;
  for (const chunk of pieces) {
    remaining -= chunk.tokens;
  }
  return Math.max(0, remaining);
}
