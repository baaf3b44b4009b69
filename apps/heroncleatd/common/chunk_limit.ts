/**
 * Limit of the chunks of a body. Each takes some microseconds, whatever its
 * size.
 */
export type ChunkLimit = {
  /** Chunks that a body may have, whatever its size. */
  readonly base: number;
  /** Bytes of the body for which it may have one more. */
  readonly bytesPerChunk: number;
};
