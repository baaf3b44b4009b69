import type { Milliseconds } from "@heroncleat/base";
import type { RequestEvent } from "@heroncleat/requests";
import type { ForwardedAnswer } from "@heroncleat/schema";

/** Messages to the actor that owns one request. */
export type RequestMessage =
  | { readonly kind: "event"; readonly event: RequestEvent }
  /**
   * Answers once there is something behind `from`, or when the wait is over.
   */
  | {
    readonly kind: "read";
    readonly from: number;
    readonly wait: Milliseconds;
    readonly reply: (answer: ForwardedAnswer) => void;
  };
