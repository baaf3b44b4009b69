import type { ServerResponse } from "node:http";
import type { Clock, Milliseconds } from "@heroncleat/base";
import type { Log } from "../../common/log.ts";
import type { Metrics } from "../../common/metrics.ts";
import type { AppliedDocument } from "../applied_document.ts";
import { connectionEnds } from "./connection_ends.ts";
import { describeChange } from "./describe_change.ts";
import { describeConnectionEnd } from "./describe_connection_end.ts";
import { EndedBy } from "./ended_by.ts";

type CutRequest = {
  /** Identifier of the caller's attempt. */
  readonly request: string;
  /** Monotonic time. */
  readonly arrivedAt: Milliseconds;
  readonly response: ServerResponse;
  /** Absent if the request itself failed, or its connection ended. */
  readonly error?: Error;
  /** What else the line says. */
  readonly details?: Readonly<Record<string, string | number>>;
};

/** Logs and counts a request that ended without a result of its forwarding. */
export function recordCutRequest(
  { request, arrivedAt, response, error, details }: CutRequest,
  { log, metrics, clock, appliedDocument }: {
    log: Log;
    metrics: Metrics;
    clock: Pick<Clock, "steady">;
    appliedDocument: () => AppliedDocument;
  },
): void {
  const endedBy = error === undefined
    ? connectionEnds.find(response.socket)
    : EndedBy.failure;
  metrics.increment(`gateway.ended_by.${endedBy}`);
  const fields = {
    request,
    endedBy,
    connection: describeConnectionEnd(response.socket),
    isBegun: response.headersSent ? 1 : 0,
    took: Math.round(clock.steady() - arrivedAt),
    ...describeChange(appliedDocument(), clock),
    ...details,
  };
  if (error === undefined) {
    log.info("A request was cut", fields);
  } else {
    log.error("A request failed", {
      ...fields,
      code: (error as NodeJS.ErrnoException).code ?? "",
      error: String(error.stack),
    });
  }
}
