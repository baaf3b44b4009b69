import {
  type Agent,
  type ClientRequest,
  type IncomingMessage,
  request,
} from "node:http";
import { type Milliseconds, splitAddress } from "@heroncleat/base";
import { byteLimits } from "./byte_limits.ts";
import { CONNECT_TIMEOUT_REASON } from "./connect_timeout_reason.ts";
import { EndlessBytes } from "./endless_bytes.ts";
import { framingOf } from "./framing_of.ts";
import { limitResponse } from "./limit_response.ts";
import { readOncePerLoopIteration } from "./read_once_per_loop_iteration.ts";
import { ResponseFraming } from "./response_framing.ts";
import type { SentRequest } from "./sent_request.ts";

const SWITCHING_PROTOCOLS = 101;

type RequestOptions = {
  /** host:port */
  readonly address: string;
  readonly agent: Agent;
  readonly method: string;
  /** Path and query. */
  readonly path: string;
  /** Alternating names and values. */
  readonly headers: readonly string[];
  readonly body: Buffer;
  readonly connectTimeout: Milliseconds;
  /** Aborts the request, also while the body is received. */
  readonly signal: AbortSignal;
  readonly onSent?: ((sent: SentRequest) => void) | undefined;
  /** Whether to send the request, asked once there is a connection. */
  readonly maySend?: (() => boolean) | undefined;
  /** Called once there is a connection and the request is written to it. */
  readonly onWritten?: (() => void) | undefined;
};

type OpenedResponse =
  | {
    readonly kind: "head";
    readonly message: IncomingMessage;
    readonly outgoing: ClientRequest;
  }
  | {
    readonly kind: "failed";
    readonly error: NodeJS.ErrnoException;
    /** Whether there was a connection, so that bytes may have been sent. */
    readonly isConnected: boolean;
    /** Whether the connection was a kept one. */
    readonly isReused: boolean;
  }
  /** Nothing was sent, as `maySend` returned false. */
  | { readonly kind: "withdrawn" };

/**
 * Sends a request once and waits for the head of the response. Reading the body
 * fails if the connection is reset, also if the body ends with the connection,
 * and with `EndlessBytes` if it was closed at a limit.
 */
export function openResponse(options: RequestOptions): Promise<OpenedResponse> {
  return new Promise((resolve) => {
    const { method, path, agent, signal } = options;
    const outgoing = request({
      ...splitAddress(options.address),
      method,
      path,
      headers: options.headers as never,
      agent,
      signal,
      setHost: false,
      maxHeaderSize: byteLimits.head,
    });
    let isConnected = false;
    let bytesBefore = 0;
    watchConnection(outgoing, {
      timeout: options.connectTimeout,
      onConnected: () => {
        if (options.maySend?.() === false) {
          outgoing.destroy();
          resolve({ kind: "withdrawn" });
          return;
        }
        isConnected = true;
        bytesBefore = outgoing.socket?.bytesRead ?? 0;
        limitResponse(outgoing);
        outgoing.end(options.body);
        options.onWritten?.();
      },
    });
    // Requests never ask for it, and behind it there is no response.
    const refuseSwitch = (connection: { destroy(): unknown }): void => {
      connection.destroy();
      const error = new Error("an unrequested switch of protocols");
      const isReused = outgoing.reusedSocket;
      resolve({ kind: "failed", error, isConnected, isReused });
    };
    // Node closes the connection without any other event if nobody listens.
    outgoing.on("upgrade", (_message, socket) => refuseSwitch(socket));
    let response: IncomingMessage | undefined;
    outgoing.on("response", (message) => {
      if (message.statusCode === SWITCHING_PROTOCOLS) {
        refuseSwitch(outgoing);
        return;
      }
      response = message;
      if (framingOf(message, method) === ResponseFraming.connectionEnd) {
        readOncePerLoopIteration(message.socket);
      }
      resolve({ kind: "head", message, outgoing });
    });
    outgoing.on("error", (cause: NodeJS.ErrnoException) => {
      const error = EndlessBytes.from(cause, {
        hasHead: response !== undefined,
        received: (outgoing.socket?.bytesRead ?? bytesBefore) - bytesBefore,
      });
      const isReused = outgoing.reusedSocket;
      resolve({ kind: "failed", error, isConnected, isReused });
      // Node takes a reset for the orderly end of a body without a length.
      response?.destroy(error);
    });
    options.onSent?.({
      abort: () => outgoing.destroy(new Error("given up")),
      bytesReceived: () =>
        isConnected ? (outgoing.socket?.bytesRead ?? 0) - bytesBefore : 0,
      isPaused: () => response?.isPaused() === true,
    });
  });
}

function watchConnection(
  outgoing: ClientRequest,
  options: { timeout: Milliseconds; onConnected: () => void },
): void {
  const timer = setTimeout(
    () => outgoing.destroy(new Error(CONNECT_TIMEOUT_REASON)),
    options.timeout,
  );
  outgoing.once("close", () => clearTimeout(timer));
  outgoing.once("socket", (socket) => {
    const onReady = () => {
      clearTimeout(timer);
      options.onConnected();
    };
    socket.setNoDelay(true);
    if (socket.connecting) {
      socket.once("connect", onReady);
    } else if (outgoing.reusedSocket || !socket.destroyed) {
      // A new one that is destroyed couldn't be opened; an error follows.
      onReady();
    }
  });
}
