/** A parsed generation request. */
type Generation = {
  /** Prompt and emitted text, from which the next token is generated. */
  readonly text: string;
  readonly prompt: string;
  /** The part of the text that an earlier attempt generated. */
  readonly emitted: string;
  readonly maxTokens: number;
  readonly priority: number;
  readonly kvTransfer: boolean;
};

/** The fields of a chat or completion body that the stand-in reads. */
type GenerationBody = {
  readonly prompt?: string;
  readonly messages?: readonly { role: string; content: string }[];
  readonly max_tokens?: number;
  readonly priority?: number;
  readonly continue_final_message?: boolean;
  readonly kv_transfer_params?: { readonly do_remote_prefill?: boolean };
};

const DEFAULT_MAX_TOKENS = 1024;

/** Parses an OpenAI-compatible body with the extensions of vLLM. @internal */
export function parseGeneration(body: GenerationBody): Generation {
  const messages = [...body.messages ?? []];
  const continues = body.continue_final_message === true;
  const emitted = continues ? messages.pop()?.content ?? "" : "";
  const lines = messages.map(({ role, content }) => `${role}: ${content}\n`);
  const prompt = body.prompt ?? `${lines.join("")}assistant:`;
  return {
    text: prompt + emitted,
    prompt,
    emitted,
    maxTokens: body.max_tokens ?? DEFAULT_MAX_TOKENS,
    priority: body.priority ?? 0,
    kvTransfer: body.kv_transfer_params?.do_remote_prefill === true,
  };
}
