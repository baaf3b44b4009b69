import type { Milliseconds } from "@heroncleat/base";

/** What a simulation of resumed streams counts. @internal */
export type OriginReport = {
  begun: number;
  /** New streams that callers asked for. */
  asked: number;
  /** Attempts to resume a stream whose version has two upstreams or more. */
  resumed: number;
  wentOn: number;
  /** Those of the resumed streams that the fault of an entry broke off. */
  cut: number;
  cutWentOn: number;
  /** Streams that went on at another version than the one that began them. */
  mixed: number;
  /** Messages about streams between entries. */
  messages: number;
  /** Origins sent to control replicas, several in a message. */
  stored: number;
  /** Those sent once the versions of the whole retention are known. */
  lateMessages: number;
  /** Messages that weren't sent beyond the rate limit. */
  overBudget: number;
  /** Exchanges with control replicas for the sake of a resumed stream. */
  confirmations: number;
  /** Times that searches among other entries took. */
  readonly searchTimes: Milliseconds[];
};
