import type { IncomingHttpHeaders } from "node:http";
import type { Log } from "../../common/log.ts";
import type { Metrics } from "../../common/metrics.ts";
import type { HeaderNames } from "../header_names.ts";
import type { LocalResponse } from "../responses/local_response.ts";
import { recordResumption } from "./record_resumption.ts";
import type { Resumption } from "./resumption.ts";
import type { ResumptionSearch } from "./resumption_search.ts";
import type { StopReason } from "./stop_reason.ts";

type RefusedResumption = {
  readonly response: LocalResponse;
  readonly reason: StopReason;
  /** Absent if it was refused before a search. */
  readonly search?: ResumptionSearch;
  /** Present if its origin was found. */
  readonly resumption?: Resumption;
};

/** Logs a resumed stream that was refused before it was forwarded, if it is one. */
export function recordRefusedResumption(
  headers: IncomingHttpHeaders,
  { response, reason, search, resumption }: RefusedResumption,
  { names, log, metrics }: {
    readonly names: HeaderNames;
    readonly log: Log;
    readonly metrics: Metrics;
  },
): void {
  const resumes = String(headers[names.resumes] ?? "");
  if (resumes === "" && headers[names.lastEvent] === undefined) {
    return;
  }
  recordResumption({
    request: String(headers[names.attempt] ?? ""),
    resumes,
    search: search ?? resumption?.search,
    by: resumption?.by ?? "",
    version: resumption?.origin.version ?? "",
    age: resumption?.age ?? 0,
    outcome: "refused",
    status: response.status,
    reason,
    attempts: [],
  }, { log, metrics });
}
