import { RouteKind } from "@heroncleat/serving";
import type { CallerRequest } from "./caller_request.ts";
import { RequestProgress } from "./shutdown/request_progress.ts";

/** Creates a request to the service "desk" that has no deadline. */
export function createTestRequest(
  changes: Partial<CallerRequest>,
): CallerRequest {
  const attempt = changes.attempt ?? "a";
  return {
    attempt,
    method: "GET",
    target: "/",
    rawHeaders: [],
    headers: {},
    body: Buffer.alloc(0),
    route: {
      name: "r",
      host: "h",
      pathPrefix: "/",
      kind: RouteKind.idempotent,
      targets: [{ service: "desk", weight: 1 }],
      timeout: 1000,
      latencyObjective: 100,
      priority: 1,
      maxAttempts: 2,
      isPublic: true,
      isResumable: false,
    },
    service: "desk",
    documentVersion: 1,
    workspace: undefined,
    prompt: undefined,
    size: 0,
    objective: 100,
    arrivedAt: 0,
    deadline: Infinity,
    identity: {
      attempt,
      workspace: "",
      service: "desk",
      size: 0,
      digest: () => "d",
      parts: () => [],
    },
    signal: new AbortController().signal,
    progress: new RequestProgress(),
    ...changes,
  };
}
