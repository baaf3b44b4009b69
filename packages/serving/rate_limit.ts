import type { Milliseconds } from "@heroncleat/base";

/**
 * What an upstream last stated about the requests that it accepts from all
 * entries together.
 *
 * @public
 */
export type RateLimit = {
  /** ID of the upstream instance. */
  readonly upstream: string;
  /** Requests per second; absent once a response no longer states a limit. */
  readonly rate?: number | undefined;
  /**
   * Set if the rate bounds the requests that the upstream has to reject for
   * want of room, instead of those that it accepts.
   */
  readonly isOfRejections?: true | undefined;
  /**
   * Unix time: of the response if it states a limit, of the request if not. A
   * limit therefore ends only with a request that was sent after the last
   * response that stated one.
   */
  readonly statedAt: Milliseconds;
};
