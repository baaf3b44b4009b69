import type { ChunkLimit } from "./chunk_limit.ts";

/** No sound client sends as many chunks. */
export const defaultChunkLimit: ChunkLimit = { base: 4096, bytesPerChunk: 16 };
