import type { Milliseconds } from "@heroncleat/base";
import type { RouteKind } from "./route_kind.ts";

/** Where requests of one host and path prefix go. @public */
export type Route = {
  readonly name: string;
  readonly host: string;
  /** Begins and ends with a slash. */
  readonly pathPrefix: string;
  readonly kind: typeof RouteKind[keyof typeof RouteKind];
  /** Services with their shares of the requests; at least one above 0. */
  readonly targets: readonly {
    readonly service: string;
    readonly weight: number;
  }[];
  /** Longest time until a request has its final answer. */
  readonly timeout: Milliseconds;
  /** Time to the first byte of the body that callers hope for. */
  readonly latencyObjective: Milliseconds;
  /** 0 is the most urgent. */
  readonly priority: number;
  /** Most upstreams that one attempt of a caller may be sent to. */
  readonly maxAttempts: number;
  /** Whether requests need no key. */
  readonly isPublic: boolean;
  /** Whether a stream may be continued at another upstream. */
  readonly isResumable: boolean;
};
