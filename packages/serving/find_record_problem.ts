import type { RecordProblem } from "./record_problem.ts";
import type { UpstreamRecord } from "./upstream_record.ts";

/**
 * What is wrong with well-formed updates of an upstream, or nothing. Updates of
 * another writer may bear the name of a sound upstream: a start neither moves
 * nor changes its service, and a service is one of the configuration.
 *
 * @public
 * @param known.services Names of the configuration; undefined before the first.
 * @param known.record What this start said before.
 */
export function findRecordProblem(
  updates: UpstreamRecord,
  known: {
    services: ReadonlySet<string> | undefined;
    record: UpstreamRecord | undefined;
  },
): RecordProblem | undefined {
  const { services, record } = known;
  if (services?.has(updates.service) === false) {
    return {
      kind: "unknown_service",
      message: `There is no service ${updates.service.slice(0, 80)}. Remedy: ` +
        "name one of the configuration.",
    };
  }
  const isSame = record === undefined || record.address === "" ||
    record.address === updates.address && record.service === updates.service &&
      record.zone === updates.zone;
  return isSame ? undefined : {
    kind: "changed_identity",
    message: `${updates.name} is known at another address, service or zone. ` +
      "Remedy: start again under another name, or report when it was born.",
  };
}
