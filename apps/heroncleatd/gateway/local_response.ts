import type { Milliseconds } from "@heroncleat/base";

/** How a request is answered by the entry itself. */
export type LocalResponse = {
  readonly status: number;
  /** What happened and what the caller can do. */
  readonly message: string;
  readonly retryAfter?: Milliseconds;
};
