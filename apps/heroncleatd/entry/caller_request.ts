import type { IncomingMessage, ServerResponse } from "node:http";

/** A request from an authenticated caller. */
export type CallerRequest = {
  readonly request: IncomingMessage;
  readonly response: ServerResponse;
  readonly url: URL;
  readonly workspace: string;
};
