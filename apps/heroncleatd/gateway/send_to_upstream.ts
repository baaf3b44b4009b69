import { type ClientRequest, type IncomingMessage, request } from "node:http";
import { type Milliseconds, splitAddress } from "@heroncleat/base";
import type { CallerRequest } from "./caller_request.ts";
import type { HeaderNames } from "./header_names.ts";
import { readOncePerLoopIteration } from "./read_once_per_loop_iteration.ts";
import type { UpstreamAgent } from "./upstream_agent.ts";
import type { UpstreamResponse } from "./upstream_response.ts";

/** Time for a new connection; one within a region takes about 1 ms. */
const CONNECT_TIMEOUT: Milliseconds = 300;
const MISDIRECTED_REQUEST = 421;

/** What one attempt is sent with. */
type SendOptions = {
  /** host:port of the upstream. */
  readonly address: string;
  readonly agent: UpstreamAgent;
  /** Names and values by turns. */
  readonly headers: string[];
  readonly names: HeaderNames;
  /** Ends the attempt, also while its body arrives. */
  readonly signal: AbortSignal;
};

/**
 * Sends a request to an upstream once and waits for the head of its answer.
 * Nothing is sent a second time from here. The answer counts only when it
 * names this attempt; whatever else comes leaves open whether it ran.
 */
export function sendToUpstream(
  call: CallerRequest,
  options: SendOptions,
): Promise<UpstreamResponse> {
  return new Promise((resolve) => {
    const { host, port } = splitAddress(options.address);
    const outgoing = request({
      host,
      port,
      method: call.method,
      path: call.target,
      headers: options.headers as never,
      agent: options.agent,
      signal: options.signal,
      setHost: false,
    });
    let isConnected = false;
    watchConnection(outgoing, () => isConnected = true);
    let response: IncomingMessage | undefined;
    outgoing.on("response", (message) => {
      response = message;
      if (endsAtConnectionClose(message)) {
        readOncePerLoopIteration(message.socket);
      }
      resolve(
        classifyResponse(message, { call, names: options.names, outgoing }),
      );
    });
    outgoing.on("error", (error) => {
      if (response === undefined && outgoing.reusedSocket) {
        // Nothing came back on a kept connection, so the others that were kept
        // beside it may be as dead: one request may find out, not each.
        options.agent.closeFreeSockets();
      }
      const reason = reasonOf(error);
      resolve(
        isConnected
          ? { kind: "unknown", reason, isBroken: true }
          : { kind: "not_run", reason },
      );
      // A body without a length ends with its connection, and Node takes a
      // reset for such an end.
      response?.destroy(error);
    });
    outgoing.end(call.body);
  });
}

function watchConnection(
  outgoing: ClientRequest,
  onConnected: () => void,
): void {
  const timer = setTimeout(
    () => outgoing.destroy(new Error("connecting took too long")),
    CONNECT_TIMEOUT,
  );
  outgoing.once("close", () => clearTimeout(timer));
  outgoing.once("socket", (socket) => {
    const done = () => {
      clearTimeout(timer);
      onConnected();
    };
    socket.setNoDelay(true);
    if (socket.connecting) {
      socket.once("connect", done);
    } else {
      done();
    }
  });
}

/** Whether nothing but the end of the connection ends a body. */
function endsAtConnectionClose({ headers }: IncomingMessage): boolean {
  return headers["content-length"] === undefined &&
    headers["transfer-encoding"] === undefined;
}

function classifyResponse(
  message: IncomingMessage,
  options: {
    call: CallerRequest;
    names: HeaderNames;
    outgoing: ClientRequest;
  },
): UpstreamResponse {
  const { call, names, outgoing } = options;
  const status = message.statusCode ?? 0;
  const namesAttempt = message.headers[names.attempt] === call.attempt;
  if (
    message.headers[names.notRun] !== undefined ||
    status === MISDIRECTED_REQUEST
  ) {
    // Without the attempt this may be an answer to somebody else's request.
    const isTrusted = namesAttempt ||
      message.headers[names.attempt] === undefined;
    message.resume();
    return isTrusted
      ? { kind: "not_run", reason: `status ${status}` }
      : discard(outgoing, "an answer to another request");
  }
  if (!namesAttempt) {
    return discard(outgoing, "an answer that doesn't name the attempt");
  }
  const isSuccess = status >= 200 && status < 300;
  if (isSuccess && message.headers[names.digest] === undefined) {
    return discard(outgoing, "an answer without a digest");
  }
  if (message.headers["content-encoding"] !== undefined) {
    return discard(outgoing, "an encoded answer");
  }
  return { kind: "head", message };
}

function discard(outgoing: ClientRequest, reason: string): UpstreamResponse {
  outgoing.destroy();
  return { kind: "unknown", reason, isBroken: false };
}

function reasonOf(error: Error): string {
  return (error as NodeJS.ErrnoException).code ?? error.message;
}
