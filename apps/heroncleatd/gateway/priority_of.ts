import { LOWEST_PRIORITY } from "@heroncleat/serving";
import type { CallerRequest } from "./caller_request.ts";

/** Priority of a request, from 0 (most urgent) to 9. */
export function priorityOf(request: CallerRequest): number {
  const { workspace, route } = request;
  return Math.min(LOWEST_PRIORITY, workspace?.priority ?? route.priority);
}
