/** A streamed response as received by a caller that reconnects. @public */
export type StreamedChatCompletion = {
  /** HTTP status of the first response; 0 if there was none. */
  readonly status: number;
  /** Value of `heroncleat-run` in a refusal; empty for others. */
  readonly run: string;
  /** Body of a refusal; empty for others. */
  readonly refusal: string;
  readonly requestId: string;
  readonly text: string;
  readonly pieces: number;
  /** Chunks that were received twice or out of order. */
  readonly misplaced: number;
  readonly finishReason: string;
  readonly reconnects: number;
  /** Milliseconds from the request to the first chunk. */
  readonly timeToFirstToken: number;
  /** Milliseconds between chunks. */
  readonly gaps: readonly number[];
};
