import type { IncomingMessage } from "node:http";

const BEARER = /^Bearer (.{1,512})$/;

/** Returns the bearer key of a request, or an empty string without one. */
export function readBearer(request: IncomingMessage): string {
  return BEARER.exec(request.headers.authorization ?? "")?.[1] ?? "";
}
