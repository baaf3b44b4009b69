import type { Milliseconds } from "@heroncleat/base";

/** One run of a request at an upstream. @internal */
export type UpstreamAttempt = {
  readonly number: number;
  /** Empty until one is chosen. */
  upstream: string;
  readonly kvSource: string;
  /** Pieces received in this attempt. */
  receivedChunks: number;
  lastActivityAt: Milliseconds;
  /** When its first piece came. */
  firstChunkAt: Milliseconds;
  /** When to leave an upstream that is being reclaimed. */
  abandonAt: Milliseconds;
};
