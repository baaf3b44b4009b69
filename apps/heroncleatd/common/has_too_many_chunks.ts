/** Chunks that a body may have, whatever its size. */
const MAX_CHUNKS = 4096;
/** Bytes for which it may have one more. */
const BYTES_PER_CHUNK = 16;

/**
 * Whether a chunked body has more chunks than a sound client sends. Each takes
 * some microseconds, whatever its size.
 */
export function hasTooManyChunks(
  { chunks, bytes }: { chunks: number; bytes: number },
): boolean {
  return chunks > MAX_CHUNKS + bytes / BYTES_PER_CHUNK;
}
