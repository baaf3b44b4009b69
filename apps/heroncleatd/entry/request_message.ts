import type { Milliseconds } from "@heroncleat/base";
import type { RequestEvent } from "@heroncleat/requests";
import type { ForwardedAnswer } from "@heroncleat/schema";

/** Messages to the actor that owns one request. */
export type RequestMessage =
  | { readonly kind: "event"; readonly event: RequestEvent }
  /** Replies once there are chunks from index `from` on, or after `wait`. */
  | {
    readonly kind: "read";
    readonly from: number;
    readonly wait: Milliseconds;
    readonly reply: (reply: ForwardedAnswer) => void;
  };
