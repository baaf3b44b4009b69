import type { IncomingMessage, ServerResponse } from "node:http";
import type { Clock, Milliseconds } from "@heroncleat/base";
import {
  type Route,
  RouteKind,
  type RouteTable,
  type Workspace,
} from "@heroncleat/serving";
import type { ByteBudget } from "../../common/byte_budget.ts";
import type { ChunkLimit } from "../../common/chunk_limit.ts";
import type { Log } from "../../common/log.ts";
import type { Metrics } from "../../common/metrics.ts";
import type { UnfinishedBodies } from "../../common/unfinished_bodies.ts";
import type { AppliedDocument } from "../applied_document.ts";
import type { CallerRequest } from "../caller_request.ts";
import { createCallSignal } from "../create_call_signal.ts";
import { forwardCall } from "../forward_call.ts";
import type { ForwardContext } from "../forward_context.ts";
import { forwardStream } from "../streams/forward_stream.ts";
import type { HeaderNames } from "../header_names.ts";
import { identifyRequest } from "../identify_request.ts";
import type { InFlightRequests } from "../shutdown/in_flight_requests.ts";
import { RequestProgress } from "../shutdown/request_progress.ts";
import { outputTokensOf } from "../output_tokens_of.ts";
import type { Prompt } from "../prompt.ts";
import { bodyRefusal } from "../body_refusal.ts";
import { closeLingering } from "../../common/close_lingering.ts";
import { discardRequestBody } from "../discard_request_body.ts";
import { isReadOn } from "../is_read_on.ts";
import type { LocalResponse } from "../responses/local_response.ts";
import { readRequestBody } from "../read_request_body.ts";
import { recordResult } from "../record_result.ts";
import type { RelayGrant } from "./relay_grant.ts";
import { relayGrants } from "./relay_grants.ts";
import { relayHeaders } from "./relay_headers.ts";
import { RelayRefusal } from "./relay_refusal.ts";
import { endFailedRequest } from "../responses/end_failed_request.ts";
import { errorResponse } from "../responses/error_response.ts";
import { recordCutRequest } from "../responses/record_cut_request.ts";
import { sendRefusal } from "../responses/send_refusal.ts";

/** Upper limit where no configuration document is in effect. */
const DEFAULT_MAX_BODY_BYTES = 0;
/** Time in which another entry must have sent a body that it has read. */
const MAX_BODY_TIME: Milliseconds = 3000;

type RelayedRequestsOptions = {
  readonly names: HeaderNames;
  readonly readPrompt: (
    headers: IncomingMessage["headers"],
  ) => Prompt | undefined;
  readonly clock: Clock;
  readonly log: Log;
  readonly metrics: Metrics;
  /** Secret that the entries share. */
  readonly secret: string;
  readonly routeTable: () => RouteTable | undefined;
  readonly forwarding: ForwardContext;
  readonly inFlight: InFlightRequests;
  /** What the bodies of requests hold. */
  readonly requestBudget: ByteBudget;
  /** The bodies of requests that are being read. */
  readonly unfinished: UnfinishedBodies;
  /** Chunks that the body of a request may have. */
  readonly chunkLimit: () => ChunkLimit;
  /** The configuration document in effect, and when it was applied. */
  readonly appliedDocument: () => AppliedDocument;
  /** How far the local wall clock is ahead of the control replicas' time. */
  readonly clockAhead: () => Milliseconds;
};

/** A request that has arrived. */
type Arrival = {
  readonly attempt: string;
  /** Monotonic time. */
  readonly arrivedAt: Milliseconds;
  readonly progress: RequestProgress;
};

/** The route of a relayed request, with its service and workspace. */
type Target = {
  readonly route: Route;
  readonly workspace: Workspace | undefined;
  readonly documentVersion: number;
};

/**
 * Serves requests that another entry passed on, as it reaches no upstream. That
 * entry has authorized, charged and counted them and decides on retries, so
 * each is sent to one upstream here, and never to a third entry.
 */
export class RelayedRequests {
  readonly #options: RelayedRequestsOptions;

  constructor(options: RelayedRequestsOptions) {
    this.#options = options;
  }

  async handle(
    incoming: IncomingMessage,
    response: ServerResponse,
  ): Promise<void> {
    const { clock, names, inFlight } = this.#options;
    const request = String(incoming.headers[names.attempt] ?? "");
    const arrivedAt = clock.steady();
    const progress = new RequestProgress();
    const end = inFlight.add({ request, arrivedAt, response, progress });
    try {
      await this.#serve(incoming, response, {
        attempt: request,
        arrivedAt,
        progress,
      });
    } catch (error) {
      await endFailedRequest({
        request,
        relayedBy: "",
        arrivedAt,
        progress,
        response,
        error: error as Error,
      }, this.#options);
    } finally {
      end();
    }
  }

  async #serve(
    incoming: IncomingMessage,
    response: ServerResponse,
    arrival: Arrival,
  ): Promise<void> {
    const { routeTable, metrics } = this.#options;
    const { attempt, arrivedAt } = arrival;
    const limit = routeTable()?.document.limits.maxBodyBytes ??
      DEFAULT_MAX_BODY_BYTES;
    const { clock, inFlight } = this.#options;
    const chunkLimit = this.#options.chunkLimit();
    const body = await readRequestBody(incoming, {
      limit,
      chunkLimit,
      budget: this.#options.requestBudget,
      deadline: arrivedAt + MAX_BODY_TIME,
      clock,
      inFlight,
      unfinished: this.#options.unfinished,
    });
    if (body.kind === "complete") {
      try {
        await this.#serveComplete({ incoming, response }, {
          ...arrival,
          body: body.bytes,
        });
      } finally {
        body.release();
      }
      return;
    }
    if (body.kind === "broken") {
      recordCutRequest(
        { request: attempt, arrivedAt, response },
        this.#options,
      );
      return;
    }
    metrics.increment("relay.unserved");
    if (isReadOn(body)) {
      const { unfinished } = this.#options;
      void discardRequestBody(incoming, { chunkLimit, unfinished });
    } else {
      closeLingering(response);
    }
    const refusal = body.kind === "too_large"
      ? undefined
      : bodyRefusal(body, limit);
    this.#refuse(response, { attempt, relayedBy: "", refusal });
  }

  async #serveComplete(
    { incoming, response }: {
      incoming: IncomingMessage;
      response: ServerResponse;
    },
    arrival: Arrival & { body: Buffer },
  ): Promise<void> {
    const { secret, metrics } = this.#options;
    const { attempt, body } = arrival;
    const grant = relayGrants.verify(incoming.headers[relayHeaders.grant], {
      secret,
      request: {
        attempt,
        method: incoming.method ?? "GET",
        target: incoming.url ?? "/",
        body,
      },
    });
    const target = grant && this.#findTarget(incoming, grant);
    if (grant === undefined || target === undefined) {
      metrics.increment("relay.unserved");
      this.#refuse(response, { attempt, relayedBy: grant?.entry ?? "" });
      return;
    }
    const { leaving, reachability } = this.#options.forwarding;
    if (leaving.refusesRequests) {
      const refusal = errorResponse.shuttingDown();
      this.#refuse(response, { attempt, relayedBy: grant.entry, refusal });
      return;
    }
    if (reachability.refusesRelays(grant.service)) {
      this.#refuseUnreachable(response, {
        call: { attempt, relayedBy: grant.entry },
        isCertain: reachability.reachesNone(grant.service),
      });
      return;
    }
    await this.#forward({ incoming, response }, {
      ...arrival,
      ...target,
      grant,
    });
  }

  /**
   * Finds the route and workspace in this entry's configuration; undefined if
   * it is older than the other entry's, or doesn't allow the request any more.
   */
  #findTarget(
    incoming: IncomingMessage,
    { service, workspace, documentVersion }: RelayGrant,
  ): Target | undefined {
    const table = this.#options.routeTable();
    if (table === undefined || table.document.version < documentVersion) {
      return undefined;
    }
    const path = (incoming.url ?? "").split("?")[0]!;
    const route = table.findRoute(incoming.headers.host ?? "", path);
    const isRouted = route?.targets.some((target) =>
      target.service === service && target.weight > 0
    );
    const known = (table.document.workspaces ?? []).find(({ name }) =>
      name === workspace
    );
    const isAllowed = known !== undefined ||
      (workspace === undefined && route !== undefined &&
        !table.needsKey(route));
    return route !== undefined && isRouted && isAllowed
      ? { route, workspace: known, documentVersion: table.document.version }
      : undefined;
  }

  async #forward(
    { incoming, response }: {
      incoming: IncomingMessage;
      response: ServerResponse;
    },
    request: Target & Arrival & { grant: RelayGrant; body: Buffer },
  ): Promise<void> {
    const { clock, names, readPrompt, forwarding, metrics } = this.#options;
    const { attempt, arrivedAt, progress, grant, body, workspace } = request;
    // The other entry decides whether the request may run a second time.
    const route = { ...request.route, maxAttempts: 1 };
    const prompt = readPrompt(incoming.headers);
    const timeLeft = Number(incoming.headers[names.timeLeft]);
    const deadline = arrivedAt +
      Math.min(route.timeout, timeLeft > 0 ? timeLeft : route.timeout);
    const { signal, release, abandon } = createCallSignal(response, {
      deadline,
      clock,
      inFlight: this.#options.inFlight,
    });
    const call: CallerRequest = {
      attempt,
      method: incoming.method ?? "GET",
      target: incoming.url ?? "/",
      rawHeaders: incoming.rawHeaders,
      headers: incoming.headers,
      body,
      route,
      service: grant.service,
      documentVersion: request.documentVersion,
      workspace,
      prompt,
      size: outputTokensOf(prompt),
      objective: this.#options.routeTable()!.tightestObjective(
        route,
        grant.service,
      ),
      arrivedAt,
      deadline,
      identity: identifyRequest(incoming, {
        attempt,
        service: grant.service,
        workspace: workspace?.name ?? "",
        body,
        prompt,
      }),
      signal,
      progress,
      relayedBy: grant.entry,
      excluded: grant.excluded,
      version: grant.version,
    };
    progress.recordAdmitted(call);
    metrics.increment("relay.received");
    const forward = route.kind === RouteKind.streaming
      ? forwardStream
      : forwardCall;
    const context = grant.isUsageCounted
      ? { ...forwarding, countUsage: () => {} }
      : forwarding;
    const result = await forward(call, { context, response }).catch(
      (error: Error) => {
        abandon();
        throw error;
      },
    );
    release();
    recordResult(call, { ...result, charge: 0, paidFrom: "other_entry" }, {
      ...this.#options,
      response,
    });
  }

  #refuseUnreachable(
    response: ServerResponse,
    { call, isCertain }: {
      call: { attempt: string; relayedBy: string };
      isCertain: boolean;
    },
  ): void {
    this.#options.metrics.increment("relay.unreachable");
    sendRefusal(response, {
      status: 503,
      message: `This entry ${isCertain ? "reaches" : "may reach"} no ` +
        "upstream of the service; the request has not run. Remedy: ask " +
        "another entry.",
      refusal: isCertain ? RelayRefusal.unreachable : RelayRefusal.inDoubt,
    }, { call, names: this.#options.names });
  }

  #refuse(
    response: ServerResponse,
    call: {
      attempt: string;
      relayedBy: string;
      refusal?: LocalResponse | undefined;
    },
  ): void {
    const { names, log } = this.#options;
    log.warn("Refused a request of another entry", {
      request: call.attempt,
      relayedBy: call.relayedBy,
      reason: call.refusal?.message ?? "",
    });
    sendRefusal(
      response,
      call.refusal ?? {
        status: 503,
        message: "This entry can't check the request with its configuration; " +
          "the request has not run. Remedy: ask another entry, and give all " +
          "entries the same secret.",
        refusal: RelayRefusal.unserved,
      },
      { call, names },
    );
  }
}
