import type { Milliseconds } from "@heroncleat/base";
import type { StreamOrigin } from "./stream_origin.ts";

/** An entry's record of a stream that may be resumed. @public */
export type KnownOrigin = {
  readonly origin: StreamOrigin;
  /** Name of the entry that passed on the first event. */
  readonly entry: string;
  /** Monotonic times of the first event and of the end of the record. */
  readonly begunAt: Milliseconds;
  readonly expiresAt: Milliseconds;
};
