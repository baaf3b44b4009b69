import type { AuditRecord } from "@heroncleat/schema";
import type { CommandContext } from "./command_context.ts";
import type { CommandResult } from "./command_result.ts";
import { formatTable } from "./format_table.ts";
import { printResource } from "./print_resource.ts";

/** Lists configuration changes with their operator, time and outcome. */
export function auditCommand(context: CommandContext): Promise<CommandResult> {
  return printResource<{ audit: AuditRecord[] }>(
    context,
    "/v1/operator/audit",
    ({ audit }) =>
      formatTable(
        ["TIME", "OPERATOR", "OUTCOME", "REVISION", "EDITS", "BEFORE"],
        audit.map((record) => [
          new Date(record.at).toISOString(),
          record.operator,
          record.outcome,
          record.revision,
          record.message ?? JSON.stringify(record.edits),
          JSON.stringify(record.before),
        ]),
      ),
  );
}
