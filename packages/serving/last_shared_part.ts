import type { BalancedRequest } from "./balanced_request.ts";

/**
 * The last part that other requests are likely to share. The final part belongs
 * to the request itself or its session.
 *
 * @internal
 */
export function lastSharedPart(request: BalancedRequest): string | undefined {
  return (request.parts.at(-2) ?? request.parts.at(-1))?.id;
}
