import type { Milliseconds } from "@heroncleat/base";
import type { RouteKind } from "./route_kind.ts";

/** Maps requests of one host and path prefix to services. @public */
export type Route = {
  readonly name: string;
  readonly host: string;
  /** Begins and ends with a slash. */
  readonly pathPrefix: string;
  readonly kind: typeof RouteKind[keyof typeof RouteKind];
  /** Services with their relative weights; at least one is above 0. */
  readonly targets: readonly {
    readonly service: string;
    readonly weight: number;
  }[];
  /** Maximum time until a request is completed. */
  readonly timeout: Milliseconds;
  /** Target for the time to the first byte of the response body. */
  readonly latencyObjective: Milliseconds;
  /** 0 is the highest priority. */
  readonly priority: number;
  /**
   * Maximum number of upstreams that one attempt of a caller may be sent to.
   */
  readonly maxAttempts: number;
  /** Whether requests without a key are accepted. */
  readonly isPublic: boolean;
  /** Whether a stream may be resumed at another upstream. */
  readonly isResumable: boolean;
};
