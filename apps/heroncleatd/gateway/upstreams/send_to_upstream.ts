import type { ClientRequest, IncomingMessage } from "node:http";
import type { Milliseconds } from "@heroncleat/base";
import { discardBody } from "../../common/discard_body.ts";
import { EndlessBytes } from "../../common/endless_bytes.ts";
import { openResponse } from "../../common/open_response.ts";
import type { SentRequest } from "../../common/sent_request.ts";
import type { CallerRequest } from "../caller_request.ts";
import type { HeaderNames } from "../header_names.ts";
import type { UpstreamAgent } from "./upstream_agent.ts";
import type { UpstreamResponse } from "./upstream_response.ts";

/** Many times the connection setup time within a region. */
const CONNECT_TIMEOUT: Milliseconds = 300;
const MISDIRECTED_REQUEST = 421;

type SendOptions = {
  /** host:port of the upstream. */
  readonly address: string;
  readonly agent: UpstreamAgent;
  /** Alternating names and values. */
  readonly headers: string[];
  readonly names: HeaderNames;
  /** Aborts the attempt, also while the body is received. */
  readonly signal: AbortSignal;
  readonly onSent?: (sent: SentRequest) => void;
  /** Whether to send the request, asked once there is a connection. */
  readonly maySend?: () => boolean;
  /** Called once there is a connection and the request is written to it. */
  readonly onWritten?: () => void;
};

/**
 * Sends a request to an upstream and waits for the response head. The request
 * is never retried here. A response counts only if it names the attempt; after
 * any other response it is unknown whether the request ran.
 */
export async function sendToUpstream(
  call: CallerRequest,
  options: SendOptions,
): Promise<UpstreamResponse> {
  const { address, agent, headers, names, signal } = options;
  const opened = await openResponse({
    address,
    agent,
    method: call.method,
    path: call.target,
    headers,
    body: call.body,
    connectTimeout: CONNECT_TIMEOUT,
    signal,
    onSent: options.onSent,
    maySend: options.maySend,
    onWritten: options.onWritten,
  });
  if (opened.kind === "head") {
    const { message, outgoing } = opened;
    return classifyResponse(message, { call, names, outgoing });
  }
  if (opened.kind === "withdrawn") {
    return opened;
  }
  if (opened.isReused) {
    // A kept connection failed without a response, so the other idle ones may
    // be dead too. Closing them spares later requests the same failure.
    agent.closeFreeSockets();
  }
  const reason = reasonOf(opened.error);
  if (opened.error instanceof EndlessBytes) {
    return { kind: "unknown", reason, isBroken: false, exceeded: opened.error };
  }
  return opened.isConnected
    ? { kind: "unknown", reason, isBroken: true }
    : { kind: "not_run", reason };
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
    // A response that names another attempt belongs to another request.
    const isTrusted = namesAttempt ||
      message.headers[names.attempt] === undefined;
    if (!isTrusted) {
      return discard(outgoing, "an answer to another request");
    }
    discardBody(message);
    return { kind: "not_run", reason: `status ${status}`, message };
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
