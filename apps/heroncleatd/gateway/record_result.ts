import type { ServerResponse } from "node:http";
import type { Clock, Milliseconds } from "@heroncleat/base";
import type { Log } from "../common/log.ts";
import type { Metrics } from "../common/metrics.ts";
import type { AppliedDocument } from "./applied_document.ts";
import type { CallerRequest } from "./caller_request.ts";
import type { ForwardResult } from "./forward_result.ts";
import type { HeaderNames } from "./header_names.ts";
import { recordResumption } from "./streams/record_resumption.ts";
import { describeChange } from "./responses/describe_change.ts";
import { describeConnectionEnd } from "./responses/describe_connection_end.ts";

type RecordOptions = {
  readonly response: Pick<ServerResponse, "socket">;
  readonly names: HeaderNames;
  readonly log: Log;
  readonly metrics: Metrics;
  readonly clock: Pick<Clock, "steady">;
  /** The configuration document in effect, and when it was applied. */
  readonly appliedDocument: () => AppliedDocument;
  /** How far the local wall clock is ahead of the control replicas' time. */
  readonly clockAhead: () => Milliseconds;
};

/** How the request was paid for; an entry that passed it on has charged it. */
type Payment = {
  readonly charge: number;
  readonly paidFrom: "quota" | "tolerance" | "other_entry";
};

/** Logs and counts a request that was forwarded, whatever its outcome. */
export function recordResult(
  call: CallerRequest,
  result: ForwardResult & Payment,
  options: RecordOptions,
): void {
  const { log, metrics, clock, clockAhead, appliedDocument, names } = options;
  const took = Math.round(clock.steady() - call.arrivedAt);
  metrics.increment(`gateway.${result.outcome}`);
  metrics.timing("gateway.request", took);
  if (call.resumption !== undefined) {
    const { search, by, origin, age } = call.resumption;
    metrics.increment(`gateway.resumed_streams.${result.outcome}`);
    recordResumption({
      ...result,
      request: call.attempt,
      resumes: String(call.headers[names.resumes] ?? ""),
      search,
      by,
      version: origin.version,
      age,
      reason: result.stoppedBy,
    }, { log, metrics });
  }
  if (result.endedBy !== undefined) {
    metrics.increment(`gateway.ended_by.${result.endedBy}`);
  }
  log.info(`A request ended: ${result.outcome}`, {
    request: call.attempt,
    route: call.route.name,
    service: call.service,
    workspace: call.workspace?.name ?? "",
    documentVersion: call.documentVersion,
    ...describeChange(appliedDocument(), clock),
    promptTokens: call.prompt?.promptTokens ?? 0,
    charge: result.charge,
    size: call.size,
    paidFrom: result.paidFrom,
    relayedBy: call.relayedBy ?? "",
    resumes: String(call.headers[names.resumes] ?? ""),
    boundTo: call.resumption?.origin.version ?? "",
    boundBy: call.resumption?.by ?? "",
    boundAge: Math.round(call.resumption?.age ?? 0),
    status: result.status,
    endedBy: result.endedBy ?? "",
    connection: describeConnectionEnd(options.response.socket),
    timeout: Math.round(call.deadline - call.arrivedAt),
    objective: call.route.latencyObjective,
    took,
    clockAhead: Math.round(clockAhead()),
    attempts: result.attempts.join("; "),
  });
}
