import {
  createServer,
  type IncomingMessage,
  type Server,
  type ServerResponse,
} from "node:http";
import { createFault, listenAt } from "@heroncleat/base";
import { answerClientErrors } from "../common/answer_client_errors.ts";
import { BodyReader } from "../common/body_reader.ts";
import { ByteBudget } from "../common/byte_budget.ts";
import { KeyRing } from "../common/key_ring.ts";
import { EndedBy } from "../gateway/responses/ended_by.ts";
import { connectionEnds } from "../gateway/responses/connection_ends.ts";
import { describeConnectionEnd } from "../gateway/responses/describe_connection_end.ts";
import { limitConnections } from "../common/limit_connections.ts";
import { paceReads } from "../common/pace_reads.ts";
import { readBearer } from "../common/read_bearer.ts";
import { sendFault } from "../common/send_fault.ts";
import { sendJson } from "../common/send_json.ts";
import { UnsentResponses } from "../common/unsent_responses.ts";
import type { CallerRequest } from "./caller_request.ts";
import type { EntryParts } from "./entry_parts.ts";
import { handleAnnouncement } from "./handle_announcement.ts";
import { handleDiscovery } from "./handle_discovery.ts";
import { handleGeneration } from "./handle_generation.ts";
import { handleModels } from "./handle_models.ts";
import { handleRetrieval } from "./handle_retrieval.ts";
import { handleService } from "./handle_service.ts";
import { listOtherEntries } from "./list_other_entries.ts";
import { parseServicePath } from "./parse_service_path.ts";

const RESPONSE_PATH = /^\/v1\/requests\/([^/]+)$/;
const MAX_HEADER_BYTES = 16 * 1024;
/** Size from which an announcement leaves a part of the memory to smaller ones. */
const LARGE_ANNOUNCEMENT_BYTES = 16 * 1024;
const KEEP_ALIVE_TIMEOUT_MS = 65_000;

/** HTTP server for callers and for announcements of upstreams. */
export class CallerServer {
  readonly #parts: EntryParts;
  readonly #server: Server;
  readonly #unsent: UnsentResponses;
  readonly #upstreamKeys: KeyRing;
  readonly #callerBodies: BodyReader;
  readonly #announcementBodies: BodyReader;
  /** Logs the cuts of the responses that aren't complete. */
  readonly #cutLoggers = new Set<() => void>();

  constructor(parts: EntryParts) {
    this.#parts = parts;
    const { entry, sharedSecret, bodies, clock, log, metrics } = parts.context;
    this.#upstreamKeys = new KeyRing({ upstream: sharedSecret });
    const readerOptions = {
      timeout: entry.header_timeout,
      maxChunks: entry.max_body_chunks,
      clock,
      log: log("callers"),
      metrics,
    };
    this.#callerBodies = new BodyReader({
      ...readerOptions,
      name: "callers",
      budget: bodies.requests,
    });
    this.#announcementBodies = new BodyReader({
      ...readerOptions,
      name: "announcements",
      budget: new ByteBudget({
        limit: entry.announcement_memory,
        largeBytes: LARGE_ANNOUNCEMENT_BYTES,
        clock,
      }),
    });
    this.#server = createServer(
      {
        maxHeaderSize: MAX_HEADER_BYTES,
        requestTimeout: entry.header_timeout,
        headersTimeout: entry.header_timeout,
        connectionsCheckingInterval: entry.header_timeout / 2,
        keepAliveTimeout: KEEP_ALIVE_TIMEOUT_MS,
      },
      (request, response) => {
        this.#watchEnd(response);
        this.#handle(request, response).catch((error: Error) =>
          this.#onError(response, error)
        );
      },
    );
    paceReads(this.#server, {
      onRefusal: (outcome) =>
        metrics.increment(`connections.${outcome}.callers`),
      maxWaitingBytes: () => entry.waiting_memory,
    });
    this.#unsent = new UnsentResponses(this.#server);
    limitConnections(this.#server, {
      limit: () => entry.max_connections,
      giveUpBody: () =>
        this.#callerBodies.giveUpOldest() ||
        this.#announcementBodies.giveUpOldest(),
      metrics,
      log: parts.context.log("callers"),
      name: "callers",
    });
    answerClientErrors(
      this.#server,
      (socket, error) => {
        connectionEnds.record(socket, EndedBy.callerServer);
        this.#recordClientError(error);
      },
    );
  }

  async listen(): Promise<void> {
    const { entry, log } = this.#parts.context;
    await listenAt(this.#server, entry.caller_address, {
      onWait: (message) => log("callers").warn(message),
    });
  }

  /** Number of requests whose responses aren't complete. */
  get inFlight(): number {
    return this.#cutLoggers.size;
  }

  /**
   * Stops accepting connections and closes idle ones, unless a response waits to
   * be sent; active ones continue.
   */
  stopListening(): void {
    if (this.#unsent.exist) {
      return;
    }
    this.#server.close();
    this.#server.closeIdleConnections();
  }

  close(): void {
    // The process exits before the connections are closed.
    for (const logCut of this.#cutLoggers) {
      logCut();
    }
    this.#server.closeAllConnections();
  }

  /** Logs a response that ends before it is complete. */
  #watchEnd(response: ServerResponse): void {
    const { log, metrics, clock } = this.#parts.context;
    const startedAt = clock.now();
    const logCut = (endedBy: EndedBy) => {
      this.#cutLoggers.delete(logShutdown);
      metrics.increment(`callers.ended_by.${endedBy}`);
      log("callers").info("A request was cut", {
        request: String(response.getHeader("heroncleat-request") ?? ""),
        endedBy,
        connection: describeConnectionEnd(response.socket),
        took: Math.round(clock.now() - startedAt),
      });
    };
    const logShutdown = () => logCut(EndedBy.shutdown);
    this.#cutLoggers.add(logShutdown);
    response.once("close", () => {
      if (!response.writableFinished && this.#cutLoggers.has(logShutdown)) {
        logCut(connectionEnds.find(response.socket));
      }
      this.#cutLoggers.delete(logShutdown);
    });
  }

  async #handle(
    request: IncomingMessage,
    response: ServerResponse,
  ): Promise<void> {
    const url = new URL(request.url ?? "/", "http://entry");
    const path = url.pathname;
    if (request.method === "GET" && path === "/v1/entries") {
      handleDiscovery(this.#parts, request, response);
      return;
    }
    if (request.method === "GET" && path === "/v1/health") {
      this.#sendHealth(response);
      return;
    }
    if (request.method === "POST" && path.startsWith("/v1/upstreams")) {
      await handleAnnouncement(this.#parts, request, {
        response,
        upstreamKeys: this.#upstreamKeys,
        bodies: this.#announcementBodies,
        path,
      });
      return;
    }
    await this.#handleCaller(request, { response, url });
  }

  async #handleCaller(
    request: IncomingMessage,
    options: { response: ServerResponse; url: URL },
  ): Promise<void> {
    const { response, url } = options;
    const key = readBearer(request);
    const workspace = this.#parts.context.callers.holderOf(key);
    if (workspace === undefined) {
      sendFault(response, createKeyFault(key));
      return;
    }
    const bodies = this.#callerBodies;
    await this.#route({ request, response, url, workspace, bodies });
  }

  async #route(call: CallerRequest): Promise<void> {
    const path = call.url.pathname;
    const { method } = call.request;
    const responseMatch = RESPONSE_PATH.exec(path);
    if (method === "GET" && responseMatch !== null) {
      await handleRetrieval(
        this.#parts,
        call,
        decodeURIComponent(responseMatch[1]!),
      );
      return;
    }
    if (method === "GET" && path === "/v1/models") {
      await handleModels(this.#parts, call);
      return;
    }
    if (this.#parts.isShuttingDown()) {
      this.#refuseDuringShutdown(call.response);
      return;
    }
    if (method === "POST" && path === "/v1/chat/completions") {
      await handleGeneration(this.#parts, call, "chat");
      return;
    }
    if (method === "POST" && path === "/v1/completions") {
      await handleGeneration(this.#parts, call, "completion");
      return;
    }
    const service = parseServicePath(call.url);
    if (service !== undefined) {
      await handleService(this.#parts, call, service);
      return;
    }
    sendFault(
      call.response,
      createFault(
        "not_found",
        `${method} ${path} is not part of the API. Remedy: see docs/USAGE.md.`,
      ),
    );
  }

  #refuseDuringShutdown(response: ServerResponse): void {
    response.setHeader("connection", "close");
    sendFault(
      response,
      createFault(
        "leaving",
        "This entry is shutting down. Remedy: send the request to another entry.",
        { retryAfter: 0 },
      ),
      { entries: listOtherEntries(this.#parts) },
    );
  }

  #sendHealth(response: ServerResponse): void {
    const { context, isSynchronized, isShuttingDown } = this.#parts;
    const serving = context.lease.isValid && isSynchronized() &&
      !isShuttingDown();
    sendJson(response, serving ? 200 : 503, {
      name: context.name,
      zone: context.zone,
      serving,
      leaving: isShuttingDown(),
    });
  }

  #recordClientError(error: NodeJS.ErrnoException): void {
    const { log, metrics } = this.#parts.context;
    metrics.increment("callers.closed.caller_server");
    log("callers").info("A connection is closed for what its caller sent", {
      error: error.code ?? error.message,
    });
  }

  #onError(response: ServerResponse, error: Error): void {
    this.#parts.context.log("callers").error("A request failed", {
      error: String(error.stack),
    });
    sendFault(
      response,
      createFault("internal", "Internal error. Remedy: see the entry's log.", {
        run: "unknown",
      }),
    );
  }
}

function createKeyFault(key: string) {
  return key === ""
    ? createFault(
      "unauthorized",
      "The request has no key. Remedy: send Authorization: Bearer KEY.",
    )
    : createFault(
      "forbidden",
      "The key is unknown. Remedy: use one from caller_keys_file.",
    );
}
