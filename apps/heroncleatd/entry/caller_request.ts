import type { IncomingMessage, ServerResponse } from "node:http";
import type { BodyReader } from "../common/body_reader.ts";

/** A request from an authenticated caller. */
export type CallerRequest = {
  readonly request: IncomingMessage;
  readonly response: ServerResponse;
  readonly url: URL;
  readonly workspace: string;
  readonly bodies: BodyReader;
};
