import type { IncomingMessage } from "node:http";

const BEARER = /^Bearer (.{1,512})$/;

/** The bearer key of a request, empty without one. */
export function readBearer(request: IncomingMessage): string {
  return BEARER.exec(request.headers.authorization ?? "")?.[1] ?? "";
}
