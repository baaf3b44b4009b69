/** One generation request of a stand-in engine. @public */
export type EngineJob = {
  readonly id: string;
  /** Prompt and earlier output together. */
  readonly text: string;
  /** The prompt without the output of an earlier attempt. */
  readonly prompt: string;
  /** Output of an earlier attempt that this one continues. */
  readonly emitted: string;
  readonly maxTokens: number;
  /** Lower values are scheduled first. */
  readonly priority: number;
  /** Whether the KV cache is transferred from another engine. */
  readonly kvTransfer: boolean;
  /** Called with the number of tokens to compute before the first one. */
  readonly onStart?: (computed: number) => void;
  readonly onToken: (text: string) => void;
  readonly onEnd: (end: EngineEnd) => void;
};

/** How a generation ended. */
type EngineEnd = {
  readonly reason: "stop" | "length";
  readonly promptTokens: number;
  readonly cachedTokens: number;
  readonly tokens: number;
};
