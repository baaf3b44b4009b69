import type { IncomingHttpHeaders } from "node:http";
import type { Milliseconds } from "@heroncleat/base";
import type { Route, Workspace } from "@heroncleat/serving";
import type { RequestIdentity } from "../common/request_identity.ts";
import type { Prompt } from "./prompt.ts";

/** A request that was read whole and may be forwarded. */
export type CallerRequest = {
  readonly attempt: string;
  readonly method: string;
  /** Path and query as the caller sent them. */
  readonly target: string;
  /** Names and values by turns, as received. */
  readonly rawHeaders: readonly string[];
  readonly headers: IncomingHttpHeaders;
  readonly body: Buffer;
  readonly route: Route;
  readonly service: string;
  /** Version of the document that decided route, key and target. */
  readonly documentVersion: number;
  readonly workspace: Workspace | undefined;
  /** Absent where the request names no prompt. */
  readonly prompt: Prompt | undefined;
  /** Tokens that the caller expects, or allows; 0 where it says neither. */
  readonly size: number;
  /** Latest first token that is of use, counted from the arrival. */
  readonly objective: Milliseconds;
  /** Monotonic time at which it arrived, and at which it must be answered. */
  readonly arrivedAt: Milliseconds;
  readonly deadline: Milliseconds;
  readonly identity: RequestIdentity;
  /** Aborts when the caller leaves or the time is up. */
  readonly signal: AbortSignal;
};
