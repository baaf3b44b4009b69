import type { Milliseconds } from "@heroncleat/base";

/**
 * One run of a request at an upstream.
 *
 * @internal
 */
export type UpstreamAttempt = {
  readonly number: number;
  /** Empty until an upstream is chosen. */
  upstream: string;
  readonly kvSource: string;
  receivedChunks: number;
  /** When the upstream was chosen or last sent a chunk. */
  lastActivityAt: Milliseconds;
  firstChunkAt: Milliseconds;
  /** When to abandon the attempt because the VM is reclaimed. */
  abandonAt: Milliseconds;
};
