import type { ChunkLimit } from "../common/chunk_limit.ts";

/** Limits on what callers and other hosts may send to an entry. */
export type CallerLimits = {
  /** Open connections. */
  readonly connections: {
    readonly callers: number;
    /** Of entries that pass requests on. */
    readonly relays: number;
  };
  /** Chunks of the body of a request. */
  readonly chunks: ChunkLimit;
  /** Bytes that wait to be parsed, at all connections of a server. */
  readonly waitingBytes: number;
  /** Bytes a second of datagrams of hosts that aren't known as entries. */
  readonly strangerBytesPerSecond: number;
};
