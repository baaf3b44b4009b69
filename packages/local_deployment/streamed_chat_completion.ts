/** What a caller that reconnects has got of one answer. @public */
export type StreamedChatCompletion = {
  /** HTTP status of the first answer. */
  readonly status: number;
  /** Whether a refusal said that the request was not run. */
  readonly run: string;
  /** Body of a refusal; empty for others. */
  readonly refusal: string;
  readonly requestId: string;
  readonly text: string;
  readonly pieces: number;
  /** Pieces that came a second time or out of order. */
  readonly misplaced: number;
  readonly finishReason: string;
  readonly reconnects: number;
  /** Milliseconds from sending to the first piece. */
  readonly timeToFirstToken: number;
  /** Milliseconds between pieces. */
  readonly gaps: readonly number[];
};
