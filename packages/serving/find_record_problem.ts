import type { RecordProblem } from "./record_problem.ts";
import type { UpstreamRecord } from "./upstream_record.ts";

/**
 * Finds a semantic error in an update of an upstream, which may come from
 * another process of that name: an instance never changes its address, service
 * or zone.
 *
 * @public
 * @param known.services Configured services, if known.
 * @param known.record The last update of this instance.
 */
export function findRecordProblem(
  update: UpstreamRecord,
  known: {
    services: ReadonlySet<string> | undefined;
    record: UpstreamRecord | undefined;
  },
): RecordProblem | undefined {
  const { services, record } = known;
  if (services?.has(update.service) === false) {
    return {
      kind: "unknown_service",
      message: `Service ${update.service.slice(0, 80)} isn't configured. ` +
        "Remedy: name a configured service.",
    };
  }
  const isSame = record === undefined || record.address === "" ||
    record.address === update.address && record.service === update.service &&
      record.zone === update.zone;
  return isSame ? undefined : {
    kind: "changed_identity",
    message: `${update.name} is registered with another address, service or ` +
      "zone. Remedy: use another name, or report the start time (born).",
  };
}
