import type { Milliseconds } from "@heroncleat/base";
import type { RelayRefusal } from "../relay/relay_refusal.ts";

/** A response that the entry creates itself. */
export type LocalResponse = {
  readonly status: number;
  /** What is wrong, and the remedy. */
  readonly message: string;
  readonly retryAfter?: Milliseconds;
  /** What an entry that passed the request on is told; it has not run. */
  readonly refusal?: RelayRefusal;
  /** Whether an upstream got the request and rejected it. */
  readonly wasSent?: boolean;
};
