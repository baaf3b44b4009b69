import type { IncomingMessage, ServerResponse } from "node:http";

/** A request of a caller with its key checked. */
export type CallerRequest = {
  readonly request: IncomingMessage;
  readonly response: ServerResponse;
  readonly url: URL;
  readonly workspace: string;
};
