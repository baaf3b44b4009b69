import type { MemberRecord, UpstreamRecord } from "@heroncleat/schema";
import type { CommandContext } from "./command_context.ts";
import type { CommandResult } from "./command_result.ts";
import { formatTable } from "./format_table.ts";
import { printResource } from "./print_resource.ts";

/** Status of a control replica. */
type ReplicaStatus = {
  readonly kind: string;
  readonly address?: string;
  readonly name?: string;
  readonly zone?: string;
  readonly role?: string;
  readonly term?: number;
  readonly commitIndex?: number;
  readonly revision?: number;
};

type Status = {
  readonly replicas: readonly ReplicaStatus[];
  readonly entries: readonly MemberRecord[];
  readonly upstreams: readonly UpstreamRecord[];
};

/** Prints control replicas, entries with their revision, and upstreams. */
export function statusCommand(
  context: CommandContext,
): Promise<CommandResult> {
  return printResource<Status>(context, "/v1/operator/status", formatStatus);
}

function formatStatus(status: Status): string {
  const replicas = formatTable(
    ["REPLICA", "ZONE", "ROLE", "TERM", "COMMIT", "REVISION"],
    status.replicas.map((replica) => [
      replica.name ?? replica.address,
      replica.zone,
      replica.role ?? replica.kind,
      replica.term,
      replica.commitIndex,
      replica.revision,
    ]),
  );
  const entries = formatTable(
    ["ENTRY", "ZONE", "ADDRESS", "STATE", "REVISION"],
    status.entries.map((entry) => [
      entry.name,
      entry.zone,
      entry.callerAddress,
      entry.state,
      entry.revision,
    ]),
  );
  const upstreams = formatTable(
    ["UPSTREAM", "ZONE", "CLASS", "STATE", "SERVES", "RUNNING", "LABELS"],
    status.upstreams.map(({ announcement }) => [
      announcement.name,
      announcement.zone,
      announcement.vmClass,
      announcement.state,
      announcement.service ?? announcement.models.join(","),
      `${announcement.load.running}/${announcement.slots}`,
      announcement.labels,
    ]),
  );
  return [replicas, entries, upstreams].join("\n\n");
}
