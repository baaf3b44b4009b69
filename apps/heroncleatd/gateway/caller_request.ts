import type { IncomingHttpHeaders } from "node:http";
import type { Milliseconds } from "@heroncleat/base";
import type { Route, Workspace } from "@heroncleat/serving";
import type { RequestIdentity } from "../common/request_identity.ts";
import type { RequestProgress } from "./shutdown/request_progress.ts";
import type { Resumption } from "./streams/resumption.ts";
import type { Prompt } from "./prompt.ts";

/** A request that was read completely and is ready to be forwarded. */
export type CallerRequest = {
  readonly attempt: string;
  readonly method: string;
  /** Path and query as sent by the caller. */
  readonly target: string;
  /** Alternating names and values, as received. */
  readonly rawHeaders: readonly string[];
  readonly headers: IncomingHttpHeaders;
  readonly body: Buffer;
  readonly route: Route;
  readonly service: string;
  /**
   * Version of the configuration document that determined route, key and
   * target.
   */
  readonly documentVersion: number;
  readonly workspace: Workspace | undefined;
  /** Undefined if the headers don't describe a prompt. */
  readonly prompt: Prompt | undefined;
  /**
   * Output tokens that the caller expects or allows; 0 if it states neither.
   */
  readonly size: number;
  /** Time to first token to meet, counted from the arrival. */
  readonly objective: Milliseconds;
  /** Monotonic times of the arrival and of the response deadline. */
  readonly arrivedAt: Milliseconds;
  readonly deadline: Milliseconds;
  /**
   * Monotonic time until which the caller says that it waits, which may be after
   * the deadline; absent if it says nothing.
   */
  readonly statedEnd?: Milliseconds | undefined;
  readonly identity: RequestIdentity;
  /**
   * Aborts with `caller_left` when the caller disconnects and with `time_up` at
   * the deadline.
   */
  readonly signal: AbortSignal;
  readonly progress: RequestProgress;
  /** Name of the entry that passed the request on; undefined if none did. */
  readonly relayedBy?: string | undefined;
  /**
   * The only software version that may run the request, as it continues a
   * stream; absent if any may.
   */
  readonly version?: string | undefined;
  /** The stream that it resumes; absent if it begins one. */
  readonly resumption?: Resumption | undefined;
  /** Identifiers of upstreams that the entry has tried. */
  readonly excluded?: readonly string[];
};
