import type { IncomingMessage } from "node:http";
import type { EndlessBytes } from "../../common/endless_bytes.ts";

/** The outcome of sending a request to an upstream, up to the response head. */
export type UpstreamResponse =
  /** The head of the response to this request; the body follows. */
  | { readonly kind: "head"; readonly message: IncomingMessage }
  /** The request did not run and never will. */
  | {
    readonly kind: "not_run";
    readonly reason: string;
    /** The head of the response that says so; absent if none arrived. */
    readonly message?: IncomingMessage;
  }
  /** The upstream asked for rest before anything was sent. */
  | { readonly kind: "withdrawn" }
  /** The request may have run. */
  | {
    readonly kind: "unknown";
    readonly reason: string;
    /**
     * Whether the connection failed, rather than returning a response that
     * doesn't belong to the request.
     */
    readonly isBroken: boolean;
    /** Set if this entry closed the connection, as a limit was exceeded. */
    readonly exceeded?: EndlessBytes | undefined;
  };
