import {
  createServer,
  type IncomingMessage,
  type Server,
  type ServerResponse,
} from "node:http";
import {
  createFault,
  createToken,
  type Fault,
  splitAddress,
} from "@heroncleat/base";
import {
  type Change,
  type ChangeResult,
  checkOperatorChange,
  type OperatorChange,
} from "@heroncleat/schema";
import type { ControlClient } from "../common/control_client.ts";
import type { KeyRing } from "../common/key_ring.ts";
import type { Log } from "../common/log.ts";
import { parseJson } from "../common/parse_json.ts";
import { readBearer } from "../common/read_bearer.ts";
import { readLimitedBody } from "../common/read_limited_body.ts";
import { sendFault } from "../common/send_fault.ts";
import { sendJson } from "../common/send_json.ts";
import type { ConfirmedReads } from "./confirmed_reads.ts";
import type { ControlApplication } from "./control_application.ts";
import type { ProposalOutcome } from "./proposal_outcome.ts";
import type { ReplicaAccess } from "./replica_access.ts";

/** What the operator API is built from. */
type OperatorServerOptions = {
  readonly address: string;
  readonly operators: KeyRing;
  readonly replica: ReplicaAccess;
  readonly reads: ConfirmedReads;
  readonly client: ControlClient;
  readonly readStatus: () => Promise<unknown>;
  readonly log: Log;
};

const MOST_BODY_BYTES = 1024 * 1024;
const CHANGE_TIMEOUT = 5000;
const REQUEST_TIMEOUT = 10_000;
const WATCH_LIMIT = 25_000;
const WATCH_STEP = 50;
const STATUS_OF_OUTCOME = {
  accepted: 200,
  conflict: 409,
  invalid: 422,
  refused: 400,
} as const;

/** Reads one part of the state for the operator. */
type StateReader = (application: ControlApplication) => unknown;

const READERS: Readonly<Record<string, StateReader>> = {
  "/v1/operator/configuration": (application) => application.configuration.view,
  "/v1/operator/orders": (application) => ({
    orders: application.configuration.state.orders,
  }),
  "/v1/operator/audit": (application) => ({
    audit: application.configuration.state.audit,
  }),
};

/** Serves the operator API over HTTP; any replica takes any request. */
export class OperatorServer {
  readonly #options: OperatorServerOptions;
  readonly #server: Server;

  constructor(options: OperatorServerOptions) {
    this.#options = options;
    this.#server = createServer((request, response) => {
      this.#handle(request, response).catch((error: Error) => {
        options.log.error("A request failed", { error: String(error.stack) });
        sendFault(
          response,
          createFault("internal", "Internal error. Remedy: see the log."),
        );
      });
    });
    this.#server.requestTimeout = REQUEST_TIMEOUT;
  }

  listen(): Promise<void> {
    const { host, port } = splitAddress(this.#options.address);
    return new Promise((resolve, reject) => {
      this.#server.once("error", reject);
      this.#server.listen(port, host, resolve);
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
      sendFault(response, describeUnknownOperator(request));
      return;
    }
    const url = new URL(request.url ?? "/", "http://operator");
    if (request.method === "POST" && url.pathname === "/v1/operator/changes") {
      await this.#change(request, { response, operator });
      return;
    }
    if (request.method !== "GET") {
      sendFault(response, describeUnknownPath(request));
      return;
    }
    await this.#read(url, { request, response });
  }

  async #read(
    url: URL,
    options: { request: IncomingMessage; response: ServerResponse },
  ): Promise<void> {
    const { request, response } = options;
    if (url.pathname === "/v1/operator/status") {
      sendJson(response, 200, await this.#options.readStatus());
      return;
    }
    if (url.pathname === "/v1/operator/watch") {
      await this.#watch(url, response);
      return;
    }
    const reader = READERS[url.pathname];
    if (reader === undefined) {
      sendFault(response, describeUnknownPath(request));
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
      sendFault(response, describeNoQuorum("not-run"));
      return;
    }
    sendJson(response, 200, await this.#options.replica.inspect(reader));
  }

  /** Answers once the revision is above the one that the caller knows. */
  async #watch(url: URL, response: ServerResponse): Promise<void> {
    const known = Number(url.searchParams.get("revision") ?? 0);
    const until = Date.now() + WATCH_LIMIT;
    while (Date.now() < until && !response.destroyed) {
      const revision = await this.#options.replica.inspect((application) =>
        application.configuration.revision
      );
      if (revision > known) {
        break;
      }
      await new Promise((resolve) => setTimeout(resolve, WATCH_STEP));
    }
    await this.#sendConfirmed(
      response,
      (application) => application.configuration.view,
    );
  }

  async #change(
    request: IncomingMessage,
    options: { response: ServerResponse; operator: string },
  ): Promise<void> {
    const { response, operator } = options;
    const body = await readLimitedBody(request, MOST_BODY_BYTES);
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
    await this.#propose(change.value, { response, operator });
  }

  async #propose(
    body: OperatorChange,
    options: { response: ServerResponse; operator: string },
  ): Promise<void> {
    const change: Change = { ...body, operator: options.operator, at: 0 };
    const outcome = await this.#call({ kind: "change", change });
    if (outcome.kind !== "done") {
      sendFault(options.response, describeNoQuorum("unknown"));
      return;
    }
    const result = outcome.result as ChangeResult;
    this.#options.log.info(`Change ${result.outcome}`, {
      operator: options.operator,
      change: result.changeId,
      revision: result.revision,
    });
    sendJson(options.response, STATUS_OF_OUTCOME[result.outcome], result);
  }

  /** Refused changes are in the audit trail too. */
  async #recordRefusal(operator: string, message: string): Promise<void> {
    const change: Change = {
      id: createToken(),
      operator,
      expectedRevision: 0,
      edits: [],
      at: 0,
    };
    await this.#call({ kind: "refusal", change, message });
  }

  #call(command: unknown) {
    return this.#options.client.call<ProposalOutcome>("control.propose", {
      parameters: { command, timeout: CHANGE_TIMEOUT },
      timeout: CHANGE_TIMEOUT,
    });
  }
}

function describeUnknownOperator(request: IncomingMessage): Fault {
  const given = readBearer(request) !== "";
  return createFault(
    given ? "forbidden" : "unauthorized",
    given
      ? "The token is not known. Remedy: use one of operator_tokens_file."
      : "There is no token. Remedy: send Authorization: Bearer TOKEN.",
  );
}

function describeUnknownPath(request: IncomingMessage): Fault {
  return createFault(
    "not_found",
    `${request.method} ${request.url} is not part of the operator API. ` +
      "Remedy: see docs/OPERATIONS.md.",
  );
}

function describeNoQuorum(run: Fault["run"]): Fault {
  return createFault(
    "no_quorum",
    "The control group could not confirm this in time. Remedy: send it again " +
      "with the same identifier; check that most control replicas run.",
    { run, retryAfter: 1000 },
  );
}
