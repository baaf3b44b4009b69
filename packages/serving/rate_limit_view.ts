import type { Milliseconds } from "@heroncleat/base";

/** An upstream that states a rate limit, as shown to operators. @public */
export type RateLimitView = {
  /** ID of the upstream instance. */
  readonly upstream: string;
  /** Undefined if the replica has no record of the upstream. */
  readonly service: string | undefined;
  readonly zone: string | undefined;
  /** Requests per second that it accepts. */
  readonly rate: number;
  /** Time until the next permit; undefined if this replica issues none. */
  readonly availableIn: Milliseconds | undefined;
};
