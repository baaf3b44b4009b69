import {
  createServer,
  type IncomingMessage,
  type Server,
  type ServerResponse,
} from "node:http";
import {
  type Clock,
  createFault,
  createToken,
  type Fault,
  listenAt,
} from "@heroncleat/base";
import {
  type Change,
  type ChangeResult,
  checkOperatorChange,
  type ControlSettings,
  type OperatorChange,
} from "@heroncleat/schema";
import { BodyReader } from "../common/body_reader.ts";
import { ByteBudget } from "../common/byte_budget.ts";
import type { ControlClient } from "../common/control_client.ts";
import type { KeyRing } from "../common/key_ring.ts";
import type { Metrics } from "../common/metrics.ts";
import type { Log } from "../common/log.ts";
import { limitConnections } from "../common/limit_connections.ts";
import { paceReads } from "../common/pace_reads.ts";
import { parseJson } from "../common/parse_json.ts";
import { readBearer } from "../common/read_bearer.ts";
import { sendFault } from "../common/send_fault.ts";
import { sendJson } from "../common/send_json.ts";
import type { ConfirmedReads } from "./confirmed_reads.ts";
import type { ControlApplication } from "./control_application.ts";
import type { ProposalOutcome } from "./proposal_outcome.ts";
import type { ReplicaAccess } from "./replica_access.ts";

type OperatorServerOptions = {
  readonly settings: Pick<
    ControlSettings,
    | "operator_address"
    | "body_memory"
    | "max_body_chunks"
    | "max_connections"
    | "waiting_memory"
  >;
  readonly operators: KeyRing;
  readonly replica: ReplicaAccess;
  readonly reads: ConfirmedReads;
  readonly client: ControlClient;
  readonly readStatus: () => Promise<unknown>;
  readonly clock: Pick<Clock, "steady">;
  readonly log: Log;
  readonly metrics: Pick<Metrics, "increment">;
};

const MAX_BODY_BYTES = 1024 * 1024;
/** Size from which a body leaves a part of the memory to smaller ones. */
const LARGE_BODY_BYTES = 64 * 1024;
const CHANGE_TIMEOUT_MS = 5000;
const REQUEST_TIMEOUT_MS = 10_000;
const WATCH_TIMEOUT_MS = 25_000;
const WATCH_POLL_INTERVAL_MS = 50;
const STATUS_CODES = {
  accepted: 200,
  conflict: 409,
  invalid: 422,
  refused: 400,
} as const;

/** Returns the part of the state that one path of the API serves. */
type StateReader = (application: ControlApplication) => unknown;

const STATE_READERS: Readonly<Record<string, StateReader>> = {
  "/v1/operator/configuration": (application) => application.configuration.view,
  "/v1/operator/orders": (application) => ({
    orders: application.configuration.state.orders,
  }),
  "/v1/operator/audit": (application) => ({
    audit: application.configuration.state.audit,
  }),
};

/** Serves the operator API over HTTP. Every replica accepts every request. */
export class OperatorServer {
  readonly #options: OperatorServerOptions;
  readonly #server: Server;
  readonly #bodies: BodyReader;

  constructor(options: OperatorServerOptions) {
    this.#options = options;
    this.#server = createServer((request, response) => {
      this.#handle(request, response).catch((error: Error) => {
        options.log.error("An operator request failed", {
          error: String(error.stack),
        });
        sendFault(
          response,
          createFault(
            "internal",
            "Internal error. Remedy: see the log of this replica.",
          ),
        );
      });
    });
    paceReads(this.#server, {
      onRefusal: (outcome) =>
        options.metrics.increment(`connections.${outcome}.operators`),
      maxWaitingBytes: () => options.settings.waiting_memory,
    });
    this.#server.requestTimeout = REQUEST_TIMEOUT_MS;
    const { settings, clock, log, metrics } = options;
    this.#bodies = new BodyReader({
      name: "operators",
      budget: new ByteBudget({
        limit: settings.body_memory,
        largeBytes: LARGE_BODY_BYTES,
        clock,
      }),
      timeout: REQUEST_TIMEOUT_MS,
      maxChunks: settings.max_body_chunks,
      clock,
      log,
      metrics,
    });
    limitConnections(this.#server, {
      limit: () => settings.max_connections,
      giveUpBody: () => this.#bodies.giveUpOldest(),
      metrics,
      log,
      name: "operators",
    });
  }

  async listen(): Promise<void> {
    const { settings, log } = this.#options;
    await listenAt(this.#server, settings.operator_address, {
      onWait: (message) => log.warn(message),
    });
  }

  close(): void {
    this.#server.close();
    this.#server.closeAllConnections();
  }

  async #handle(
    request: IncomingMessage,
    response: ServerResponse,
  ): Promise<void> {
    const operator = this.#options.operators.holderOf(readBearer(request));
    if (operator === undefined) {
      sendFault(response, createAuthenticationFault(request));
      return;
    }
    const url = new URL(request.url ?? "/", "http://operator");
    if (request.method === "POST" && url.pathname === "/v1/operator/changes") {
      await this.#handleChange(request, { response, operator });
      return;
    }
    if (request.method !== "GET") {
      sendFault(response, createUnknownPathFault(request));
      return;
    }
    await this.#handleRead(url, { request, response });
  }

  async #handleRead(
    url: URL,
    options: { request: IncomingMessage; response: ServerResponse },
  ): Promise<void> {
    const { request, response } = options;
    if (url.pathname === "/v1/operator/status") {
      sendJson(response, 200, await this.#options.readStatus());
      return;
    }
    if (url.pathname === "/v1/operator/watch") {
      await this.#handleWatch(url, response);
      return;
    }
    const reader = STATE_READERS[url.pathname];
    if (reader === undefined) {
      sendFault(response, createUnknownPathFault(request));
      return;
    }
    await this.#sendConfirmed(response, reader);
  }

  async #sendConfirmed(
    response: ServerResponse,
    reader: StateReader,
  ): Promise<void> {
    const confirmation = await this.#options.reads.confirm();
    if (confirmation.kind === "not_leader") {
      sendFault(response, createNoQuorumFault("not-run"));
      return;
    }
    sendJson(response, 200, await this.#options.replica.inspect(reader));
  }

  /** Responds once the revision exceeds the caller's, or after a timeout. */
  async #handleWatch(url: URL, response: ServerResponse): Promise<void> {
    const knownRevision = Number(url.searchParams.get("revision") ?? 0);
    const deadline = Date.now() + WATCH_TIMEOUT_MS;
    while (Date.now() < deadline && !response.destroyed) {
      const revision = await this.#options.replica.inspect((application) =>
        application.configuration.revision
      );
      if (revision > knownRevision) {
        break;
      }
      await new Promise((resolve) =>
        setTimeout(resolve, WATCH_POLL_INTERVAL_MS)
      );
    }
    await this.#sendConfirmed(
      response,
      (application) => application.configuration.view,
    );
  }

  async #handleChange(
    request: IncomingMessage,
    options: { response: ServerResponse; operator: string },
  ): Promise<void> {
    const { response, operator } = options;
    const body = await this.#bodies.read(request, {
      response,
      maxBytes: MAX_BODY_BYTES,
    });
    if (body.isErr) {
      sendFault(response, body.error);
      return;
    }
    const change = parseJson(body.value, checkOperatorChange);
    if (change.isErr) {
      await this.#recordRefusal(operator, change.error.message);
      sendFault(response, change.error);
      return;
    }
    await this.#proposeChange(change.value, { response, operator });
  }

  async #proposeChange(
    body: OperatorChange,
    options: { response: ServerResponse; operator: string },
  ): Promise<void> {
    const change: Change = { ...body, operator: options.operator, at: 0 };
    const outcome = await this.#callControlGroup({ kind: "change", change });
    if (outcome.kind !== "done") {
      sendFault(options.response, createNoQuorumFault("unknown"));
      return;
    }
    const result = outcome.result as ChangeResult;
    this.#options.log.info(`Change ${result.outcome}`, {
      operator: options.operator,
      change: result.changeId,
      revision: result.revision,
    });
    sendJson(options.response, STATUS_CODES[result.outcome], result);
  }

  /** Records a refused change in the audit trail. */
  async #recordRefusal(operator: string, message: string): Promise<void> {
    const change: Change = {
      id: createToken(),
      operator,
      expectedRevision: 0,
      edits: [],
      at: 0,
    };
    await this.#callControlGroup({ kind: "refusal", change, message });
  }

  #callControlGroup(command: unknown) {
    return this.#options.client.call<ProposalOutcome>("control.propose", {
      parameters: { command, timeout: CHANGE_TIMEOUT_MS },
      timeout: CHANGE_TIMEOUT_MS,
    });
  }
}

function createAuthenticationFault(request: IncomingMessage): Fault {
  const hasToken = readBearer(request) !== "";
  return createFault(
    hasToken ? "forbidden" : "unauthorized",
    hasToken
      ? "The token is unknown. Remedy: use a token from operator_tokens_file."
      : "The request has no token. Remedy: send Authorization: Bearer TOKEN.",
  );
}

function createUnknownPathFault(request: IncomingMessage): Fault {
  return createFault(
    "not_found",
    `${request.method} ${request.url} is not part of the operator API. ` +
      "Remedy: see docs/OPERATIONS.md.",
  );
}

function createNoQuorumFault(run: Fault["run"]): Fault {
  return createFault(
    "no_quorum",
    "The control group did not confirm the request in time. Remedy: retry with " +
      "the same identifier; check that a majority of control replicas runs.",
    { run, retryAfter: 1000 },
  );
}
