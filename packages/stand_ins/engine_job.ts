/** One generation at a stand-in engine. @public */
export type EngineJob = {
  readonly id: string;
  /** Prompt and earlier output together. */
  readonly text: string;
  /** The prompt, without what an earlier run has generated. */
  readonly prompt: string;
  /** Output of an earlier run that this one continues. */
  readonly emitted: string;
  readonly maxTokens: number;
  /** Lower goes first. */
  readonly priority: number;
  /** Whether the KV cache is taken over from another engine. */
  readonly kvTransfer: boolean;
  /** Told what had to be computed before the first token. */
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
