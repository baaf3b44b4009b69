import type { Milliseconds } from "@heroncleat/base";
import type { UpstreamStream } from "./upstream_stream.ts";

/** An attempt of a request at an upstream. */
export type RunningAttempt = {
  readonly number: number;
  readonly token: string;
  readonly upstream: string;
  readonly address: string;
  readonly estimatedFirstToken: Milliseconds;
  /** Nothing may be sent later, as the upstream's group drains. */
  readonly sendBefore: Milliseconds;
  /** Time when the body was sent; 0 before. */
  sentAt: Milliseconds;
  /** Time when the first token arrived; 0 before. */
  firstTokenAt: Milliseconds;
  stream: UpstreamStream | undefined;
};
