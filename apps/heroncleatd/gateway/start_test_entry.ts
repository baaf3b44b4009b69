import { createServer, type Server } from "node:http";
import { type Route, RouteKind } from "@heroncleat/serving";
import type { CallerRequest } from "./caller_request.ts";
import { createTestContext } from "./create_test_context.ts";
import { forwardCall } from "./forward_call.ts";
import type { ForwardContext } from "./forward_context.ts";
import type { ForwardResult } from "./forward_result.ts";
import { forwardStream } from "./streams/forward_stream.ts";

const route: Route = {
  name: "r",
  host: "h",
  pathPrefix: "/",
  kind: RouteKind.idempotent,
  targets: [{ service: "desk", weight: 1 }],
  timeout: 1000,
  latencyObjective: 100,
  priority: 2,
  maxAttempts: 2,
  isPublic: true,
  isResumable: false,
};

type TestEntrySetup = {
  /** Addresses of the upstreams; the first is in the entry's zone. */
  readonly upstreams: readonly { readonly address: string }[];
  readonly kind?: Route["kind"];
  readonly isResumable?: boolean;
  readonly timeout?: number;
  readonly onResult?: (result: ForwardResult) => void;
  /** Replaces parts of the forwarding state. */
  readonly context?: Partial<ForwardContext>;
};

/**
 * Starts an entry that forwards requests without a configuration document.
 *
 * @param onClose Collects what must be called at the end of the test.
 */
export async function startTestEntry(
  setup: TestEntrySetup,
  onClose: (close: () => void) => void,
): Promise<Server> {
  const context = {
    ...createTestContext(setup.upstreams, onClose),
    ...setup.context,
  };
  const server = createServer(async (incoming, response) => {
    const chunks: Buffer[] = [];
    for await (const chunk of incoming) {
      chunks.push(chunk as Buffer);
    }
    const abort = new AbortController();
    const timeout = setup.timeout ?? route.timeout;
    setTimeout(() => abort.abort("time_up"), timeout).unref();
    response.once("close", () => {
      if (!response.writableFinished) {
        abort.abort("caller_left");
      }
    });
    const now = context.clock.steady();
    const call: CallerRequest = {
      attempt: String(incoming.headers["x-attempt"]),
      method: incoming.method!,
      target: incoming.url!,
      rawHeaders: incoming.rawHeaders,
      headers: incoming.headers,
      body: Buffer.concat(chunks),
      route: {
        ...route,
        kind: setup.kind ?? route.kind,
        isResumable: setup.isResumable ?? false,
      },
      service: "desk",
      documentVersion: 1,
      workspace: undefined,
      prompt: undefined,
      size: 0,
      objective: route.latencyObjective,
      arrivedAt: now,
      deadline: now + timeout,
      identity: {
        attempt: "a",
        workspace: "",
        service: "desk",
        size: 0,
        digest: () => "d",
        parts: () => [],
      },
      signal: abort.signal,
    };
    const forward = setup.kind === RouteKind.streaming
      ? forwardStream
      : forwardCall;
    const result = await forward(call, { context, response });
    setup.onResult?.(result);
  });
  await new Promise<void>((resolve) => server.listen(0, "127.0.0.1", resolve));
  onClose(() => {
    server.close();
    server.closeAllConnections();
  });
  return server;
}
