import { createServer, type Server } from "node:http";
import { type Route, RouteKind } from "@heroncleat/serving";
import type { CallerRequest } from "./caller_request.ts";
import { createTestContext } from "./create_test_context.ts";
import { createTestRequest } from "./create_test_request.ts";
import { forwardCall } from "./forward_call.ts";
import type { ForwardContext } from "./forward_context.ts";
import type { ForwardResult } from "./forward_result.ts";
import { forwardStream } from "./streams/forward_stream.ts";

const DEFAULT_TIMEOUT_MS = 1000;

type TestEntrySetup = {
  /** Addresses of the upstreams; the first is in the entry's zone. */
  readonly upstreams: readonly { readonly address: string }[];
  readonly kind?: Route["kind"];
  readonly isResumable?: boolean;
  readonly timeout?: number;
  readonly onResult?: (result: ForwardResult) => void;
  /** Replaces parts of the forwarding state. */
  readonly context?: Partial<ForwardContext>;
  /** Called with the forwarding state before any request. */
  readonly onCreated?: (context: ForwardContext) => void;
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
  setup.onCreated?.(context);
  const server = createServer(async (incoming, response) => {
    const chunks: Buffer[] = [];
    for await (const chunk of incoming) {
      chunks.push(chunk as Buffer);
    }
    const abort = new AbortController();
    const timeout = setup.timeout ?? DEFAULT_TIMEOUT_MS;
    setTimeout(() => abort.abort("time_up"), timeout).unref();
    response.once("close", () => {
      if (!response.writableFinished) {
        abort.abort("caller_left");
      }
    });
    const now = context.clock.steady();
    const request = createTestRequest({
      method: incoming.method!,
      target: incoming.url!,
      rawHeaders: incoming.rawHeaders,
      headers: incoming.headers,
      body: Buffer.concat(chunks),
      arrivedAt: now,
      deadline: now + timeout,
      signal: abort.signal,
    });
    const call: CallerRequest = {
      ...request,
      attempt: String(incoming.headers["x-attempt"]),
      route: {
        ...request.route,
        kind: setup.kind ?? request.route.kind,
        priority: 2,
        isResumable: setup.isResumable ?? false,
      },
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
