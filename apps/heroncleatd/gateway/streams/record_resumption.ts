import type { Milliseconds } from "@heroncleat/base";
import type { Log } from "../../common/log.ts";
import type { Metrics } from "../../common/metrics.ts";
import type { ForwardResult } from "../forward_result.ts";
import type { ResumptionSearch } from "./resumption_search.ts";
import type { StopReason } from "./stop_reason.ts";

/** What became of a caller's request to resume a stream. */
type EndedResumption = {
  readonly request: string;
  /** The attempt that it names as the beginning; empty if it names none. */
  readonly resumes: string;
  /** Undefined if it was refused before a search. */
  readonly search: ResumptionSearch | undefined;
  /** Who knows the origin, and the origin's version; empty if nobody does. */
  readonly by: string;
  readonly version: string;
  readonly age: Milliseconds;
  readonly outcome: ForwardResult["outcome"];
  readonly status: number;
  /** Why it isn't continued; undefined if it is. */
  readonly reason: StopReason | undefined;
  /** One description per attempt. */
  readonly attempts: readonly string[];
};

/** Logs and counts a resumed stream once, whatever its outcome. */
export function recordResumption(
  {
    request,
    resumes,
    search,
    by,
    version,
    age,
    outcome,
    status,
    reason,
    attempts,
  }: EndedResumption,
  { log, metrics }: { readonly log: Log; readonly metrics: Metrics },
): void {
  const source = search?.source ?? "none";
  metrics.increment(`gateway.resumed_streams.found_by_${source}`);
  if (reason !== undefined) {
    metrics.increment(`gateway.resumed_streams.stopped.${reason}`);
  }
  log.info(`A resumed stream ended: ${outcome}`, {
    request,
    resumes,
    source,
    boundBy: by,
    boundTo: version,
    boundAge: Math.round(age),
    searchTook: Math.round(search?.took ?? 0),
    asked: search?.asked ?? 0,
    unanswered: search?.unanswered ?? 0,
    status,
    reason: reason ?? "",
    attempts: attempts.join("; "),
  });
}
