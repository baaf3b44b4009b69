import type { IncomingMessage } from "node:http";

/** What came of sending a request to an upstream, up to the answer's head. */
export type UpstreamResponse =
  /** The head of an answer to this very request; the body follows. */
  | { readonly kind: "head"; readonly message: IncomingMessage }
  /** It did not run and never will. */
  | { readonly kind: "not_run"; readonly reason: string }
  /** It may have run. */
  | {
    readonly kind: "unknown";
    readonly reason: string;
    /** Whether the connection ended, rather than bringing no answer to it. */
    readonly isBroken: boolean;
  };
