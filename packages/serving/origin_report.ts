import type { Milliseconds } from "@heroncleat/base";

/** What a simulation of resumed streams counts. @internal */
export type OriginReport = {
  begun: number;
  /** Attempts to resume a stream whose version has two upstreams or more. */
  resumed: number;
  wentOn: number;
  /** Streams that went on at another version than the one that began them. */
  mixed: number;
  /** Messages about streams between entries. */
  messages: number;
  /** Those sent once the versions of the whole retention are known. */
  lateMessages: number;
  /** Times that searches among other entries took. */
  readonly searchTimes: Milliseconds[];
};
