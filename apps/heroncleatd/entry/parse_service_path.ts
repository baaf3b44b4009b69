import type { ServiceTarget } from "./service_target.ts";

const SERVICE_PATH = /^\/services\/([A-Za-z0-9][A-Za-z0-9._-]{0,62})(\/.*)?$/;

/** Splits `/services/NAME/REST?QUERY`. */
export function parseServicePath(url: URL): ServiceTarget | undefined {
  const match = SERVICE_PATH.exec(url.pathname);
  if (match === null) {
    return undefined;
  }
  const path = `${match[2] ?? "/"}${url.search}`;
  return { service: match[1]!, path };
}
