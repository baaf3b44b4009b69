import type { IncomingHttpHeaders } from "node:http";
import type { Clock } from "@heroncleat/base";
import type { Route, Workspace } from "@heroncleat/serving";
import type { Metrics } from "../../common/metrics.ts";
import { errorResponse } from "../responses/error_response.ts";
import type { HeaderNames } from "../header_names.ts";
import type { LocalResponse } from "../responses/local_response.ts";
import type { Resumption } from "./resumption.ts";
import type { ResumptionSearch } from "./resumption_search.ts";
import { StopReason } from "./stop_reason.ts";
import type { StreamOriginExchange } from "./stream_origin_exchange.ts";
import { streamKey } from "./stream_key.ts";

/** How a request relates to a stream that began before. */
type ResumptionResult =
  /** It begins a stream, or isn't for one that can be resumed. */
  | { readonly kind: "none" }
  | { readonly kind: "resumed"; readonly resumption: Resumption }
  | {
    readonly kind: "refused";
    readonly response: LocalResponse;
    readonly reason: StopReason;
    readonly search: ResumptionSearch;
  };

type FindOptions = {
  readonly route: Route;
  readonly workspace: Workspace | undefined;
  readonly names: HeaderNames;
  readonly streams: Pick<StreamOriginExchange, "find">;
  readonly metrics: Metrics;
  readonly clock: Pick<Clock, "steady">;
};

/**
 * Finds the origin of the stream that a request resumes. Without a known origin
 * it is refused: events of another version might follow those that its caller
 * has.
 */
export async function findResumption(
  headers: IncomingHttpHeaders,
  { route, workspace, names, streams, metrics, clock }: FindOptions,
): Promise<ResumptionResult> {
  const attempt = headers[names.resumes];
  const hasAttempt = typeof attempt === "string" && attempt !== "";
  const isResumed = hasAttempt || Boolean(headers[names.lastEvent]);
  if (!route.isResumable || !isResumed) {
    return { kind: "none" };
  }
  const stream = hasAttempt
    ? streamKey({ workspace: workspace?.name ?? "", attempt })
    : "";
  const startedAt = clock.steady();
  const found = await streams.find(stream, route);
  const search: ResumptionSearch = {
    source: found.kind === "found" ? found.source : "none",
    took: clock.steady() - startedAt,
    asked: found.kind === "unknown" ? found.asked ?? 0 : 0,
    unanswered: found.kind === "unknown" ? found.unanswered : 0,
  };
  if (found.kind === "unknown") {
    metrics.increment("gateway.resumed_streams.unknown");
    const mayBeKnown = found.unanswered > 0;
    return {
      kind: "refused",
      response: errorResponse.unknownOrigin(mayBeKnown),
      reason: StopReason.unknownOrigin,
      search,
    };
  }
  const { origin, by, age } = found;
  const isRouted = route.targets.some(({ service, weight }) =>
    service === origin.service && weight > 0
  );
  if (!isRouted) {
    metrics.increment("gateway.resumed_streams.moved_route");
    return {
      kind: "refused",
      response: errorResponse.movedRoute(),
      reason: StopReason.movedRoute,
      search,
    };
  }
  return { kind: "resumed", resumption: { stream, origin, by, age, search } };
}
