import { createServer, type Server, type Socket } from "node:net";
import {
  createToken,
  listenAt,
  type Milliseconds,
  RateLimiter,
} from "@heroncleat/base";
import {
  createJSONRPCErrorResponse,
  JSONRPCErrorCode,
  type JSONRPCResponse,
  JSONRPCServer,
} from "json-rpc-2.0";
import { CONNECTION_CHECK_METHOD } from "./connection_check_method.ts";
import type { Disconnect } from "./disconnect.ts";
import { FramedSocket } from "./framed_socket.ts";
import { handshake } from "./handshake.ts";
import type { MethodHandler } from "./method_handler.ts";
import type { PeerRefusal } from "./peer_refusal.ts";
import { RefusalCause } from "./refusal_cause.ts";
import { UnfinishedFrames } from "./unfinished_frames.ts";

/**
 * Replies that a peer may leave unread. Its further requests are dropped and
 * time out, as replies to all of them would fill the memory.
 */
const MAX_UNREAD_BYTES = 256 * 1024;
/** Default limit for a connecting peer to prove that it has the shared secret. */
const HANDSHAKE_TIMEOUT: Milliseconds = 3000;
/** Default limit of open connections. */
const MAX_CONNECTIONS = 2000;
/** Share of them that may be without a completed handshake. */
const UNPROVED_SHARE = 0.5;
/** Default limit for unfinished messages of all peers together. */
const MAX_UNFINISHED_BYTES = 64 * 1024 * 1024;
/** Silence after which a connection may be closed to make room. */
const MIN_SILENCE_MS = 10_000;
/** Limit of messages about peers that couldn't be accepted. */
const PROBLEMS_PER_SECOND = 1;
const PROBLEM_BURST = 5;
const NO_ROOM = "a newer connection needed its place before its handshake";
const NO_MEMORY = "unfinished messages of all peers took too much memory";
const CAUSES: ReadonlyMap<string, RefusalCause> = new Map([
  [NO_ROOM, RefusalCause.connections],
  [NO_MEMORY, RefusalCause.unfinished],
]);

type PeerServerOptions = {
  readonly address: string;
  readonly secret: string;
  /** Called with a message for the log when an operator has to act. */
  readonly onProblem: (message: string) => void;
  /** Limit of open connections; asked for each new one. */
  readonly maxConnections?: () => number;
  /** Limit of the memory for unfinished messages of all peers together. */
  readonly maxUnfinishedBytes?: number;
  /** Limit for a connecting peer to prove that it has the shared secret. */
  readonly handshakeTimeout?: Milliseconds;
  /** Called for each connection that is refused. */
  readonly onRefusal?: (refusal: PeerRefusal) => void;
  /** Called if a connection ends after its handshake. */
  readonly onDisconnect?: (disconnect: Disconnect) => void;
};

/**
 * Serves JSON-RPC methods to the system's own processes over TCP.
 *
 * @public
 */
export class PeerServer {
  readonly #options: PeerServerOptions;
  readonly #server: Server;
  readonly #methods = new JSONRPCServer({ errorListener: () => {} });
  readonly #connections = new Map<FramedSocket, Socket>();
  /** Those without a completed handshake, the oldest first. */
  readonly #unproved = new Set<FramedSocket>();
  readonly #unfinished: UnfinishedFrames;
  readonly #problemLimiter = new RateLimiter(
    PROBLEMS_PER_SECOND,
    PROBLEM_BURST,
  );

  constructor(options: PeerServerOptions) {
    this.#options = options;
    this.#unfinished = new UnfinishedFrames(
      options.maxUnfinishedBytes ?? MAX_UNFINISHED_BYTES,
    );
    this.#server = createServer((socket) => this.#accept(socket));
    this.serve({ [CONNECTION_CHECK_METHOD]: () => true });
  }

  /** Adds methods; replaces existing ones of the same name. */
  serve(methods: Readonly<Record<string, MethodHandler>>): void {
    for (const [name, handler] of Object.entries(methods)) {
      this.#methods.addMethod(name, handler);
    }
  }

  async listen(): Promise<void> {
    const { address, onProblem } = this.#options;
    await listenAt(this.#server, address, { onWait: onProblem });
    this.#server.on("error", (error) => this.#onAcceptError(error));
  }

  #onAcceptError({ message }: Error): void {
    if (this.#problemLimiter.tryConsume(performance.now())) {
      this.#options.onProblem(
        `Can't accept a connection (${message}). Remedy: allow the process ` +
          "more descriptors.",
      );
    }
  }

  close(): Promise<void> {
    for (const socket of this.#connections.values()) {
      socket.destroy();
    }
    return new Promise((resolve) => this.#server.close(() => resolve()));
  }

  #accept(socket: Socket): void {
    const serverNonce = createToken();
    const address = `${socket.remoteAddress}:${socket.remotePort}`;
    const timer = setTimeout(
      () => framed.close("the handshake timed out"),
      this.#options.handshakeTimeout ?? HANDSHAKE_TIMEOUT,
    );
    const giveUp = () => framed.close(NO_MEMORY);
    const framed = new FramedSocket(socket, {
      onMessage: (message) => {
        clearTimeout(timer);
        this.#finishHandshake(framed, { message, serverNonce, address });
      },
      onClose: ({ reason, byPeer }) => {
        clearTimeout(timer);
        this.#forget(framed);
        if (!byPeer) {
          const cause = CAUSES.get(reason) ?? RefusalCause.handshake;
          this.#options.onRefusal?.({ address, cause, reason });
        }
      },
    }, {
      maxPayloadBytes: handshake.maxPayloadBytes,
      onHeld: (heldBytes) => this.#unfinished.record(giveUp, heldBytes),
    });
    this.#connections.set(framed, socket);
    this.#unproved.add(framed);
    framed.send({ nonce: serverNonce });
    this.#limitConnections();
  }

  /** Makes room for the newest connection, or closes it if there is none. */
  #limitConnections(): void {
    const limit = this.#options.maxConnections?.() ?? MAX_CONNECTIONS;
    const unprovedLimit = Math.max(1, limit * UNPROVED_SHARE);
    const { size } = this.#connections;
    if (size > limit || this.#unproved.size > unprovedLimit) {
      const [oldest] = this.#unproved;
      const victim = this.#unproved.size > 1 ? oldest : this.#findSilent();
      (victim ?? oldest)?.close(NO_ROOM);
    }
  }

  /** Finds the connection of a peer that may be gone without having closed it. */
  #findSilent(): FramedSocket | undefined {
    let receivedAt = performance.now() - MIN_SILENCE_MS;
    let silent: FramedSocket | undefined;
    for (const framed of this.#connections.keys()) {
      if (!this.#unproved.has(framed) && framed.lastReceivedAt < receivedAt) {
        receivedAt = framed.lastReceivedAt;
        silent = framed;
      }
    }
    return silent;
  }

  #forget(framed: FramedSocket): void {
    this.#connections.delete(framed);
    this.#unproved.delete(framed);
  }

  #finishHandshake(
    framed: FramedSocket,
    options: { message: unknown; serverNonce: string; address: string },
  ): void {
    const { serverNonce, address } = options;
    const { secret } = this.#options;
    const hello = (options.message ?? {}) as Record<string, unknown>;
    const clientNonce = String(hello["nonce"]);
    const nonces = { clientNonce, serverNonce };
    const proof = hello["proof"];
    if (!handshake.verify(secret, { side: "client", ...nonces, proof })) {
      if (this.#problemLimiter.tryConsume(performance.now())) {
        this.#options.onProblem(
          "A peer without the shared secret was refused. Remedy: give all " +
            "processes the same shared_secret_file.",
        );
      }
      framed.close("the peer's proof of the shared secret is invalid");
      return;
    }
    framed.send({
      proof: handshake.prove(secret, { side: "server", ...nonces }),
    });
    this.#unproved.delete(framed);
    framed.completeHandshake({
      onMessage: (message) => void this.#serve(framed, message),
      onClose: (end) => {
        this.#forget(framed);
        const { reason } = end;
        const cause = CAUSES.get(reason);
        if (cause !== undefined) {
          this.#options.onRefusal?.({ address, cause, reason });
        }
        this.#options.onDisconnect?.({ ...end, address });
      },
    });
  }

  /** Sends an error in place of a reply that is too large. */
  #reply(framed: FramedSocket, response: JSONRPCResponse): void {
    try {
      framed.send(response);
    } catch (error) {
      const { message } = error as Error;
      this.#options.onProblem(`Can't send a reply. ${message}`);
      framed.send(
        createJSONRPCErrorResponse(
          response.id ?? null,
          JSONRPCErrorCode.InternalError,
          message,
        ),
      );
    }
  }

  async #serve(framed: FramedSocket, message: unknown): Promise<void> {
    // Peers send no batches; one could hold any number of calls.
    const isRequest = typeof message === "object" && !Array.isArray(message);
    if (!isRequest || message === null) {
      framed.close("the peer sent a message that is not a request");
      return;
    }
    const expectsReply = "id" in message;
    const isUnread = () => framed.queuedBytes > MAX_UNREAD_BYTES;
    if (expectsReply && isUnread()) {
      return;
    }
    const response = await this.#methods.receive(message as never);
    // Requests that arrive together are all accepted before the first reply.
    if (response !== null && !isUnread()) {
      this.#reply(framed, response);
    }
  }
}
