import type { Milliseconds } from "@heroncleat/base";
import type { UpstreamStream } from "./upstream_stream.ts";

/** An attempt that a request host has open at an upstream. */
export type RunningAttempt = {
  readonly number: number;
  readonly token: string;
  readonly upstream: string;
  readonly address: string;
  readonly estimatedFirstToken: Milliseconds;
  /** When the body was sent, 0 before. */
  sentAt: Milliseconds;
  /** When the first token came, 0 before. */
  firstTokenAt: Milliseconds;
  stream: UpstreamStream | undefined;
};
