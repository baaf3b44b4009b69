/** Kinds of bytes that exceeded a limit, for logs and metrics. */
export const EndlessShape = {
  /** Informational heads (1xx) in front of a response, by number or bytes. */
  informationalHeads: "informational_heads",
  /** The head of a response, by its size. */
  head: "head",
  /** A head that wasn't complete in time, in milliseconds, once it began. */
  slowHead: "slow_head",
  /** Bytes that aren't the head of a response. */
  notHead: "not_head",
  /** Chunk extensions, trailers and other bytes that carry no body. */
  framing: "framing",
  /** A body that is held until it is complete. */
  body: "body",
  /** A body that is no longer needed. */
  discardedBody: "discarded_body",
  /** The same, by the time that reading it took, in milliseconds. */
  slowDiscardedBody: "slow_discarded_body",
  /** A line of an event stream. */
  line: "line",
  /** An event of an event stream. */
  event: "event",
  /** Comments, or events that don't let a stream go on. */
  withoutProgress: "without_progress",
  /** Text of a generation, in characters. */
  generatedText: "generated_text",
  /** Tokens of a generation beyond what its request allows, by number. */
  generatedTokens: "generated_tokens",
  /** The largest of the bodies and events that are held together. */
  held: "held",
} as const;

export type EndlessShape = typeof EndlessShape[keyof typeof EndlessShape];
