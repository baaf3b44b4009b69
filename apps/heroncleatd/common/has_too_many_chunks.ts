import type { ChunkLimit } from "./chunk_limit.ts";

/** Whether a chunked body has more chunks than a limit allows for its size. */
export function hasTooManyChunks(
  { chunks, bytes }: { chunks: number; bytes: number },
  { base, bytesPerChunk }: ChunkLimit,
): boolean {
  return chunks > base + bytes / bytesPerChunk;
}
