import type { ConfigurationView } from "@heroncleat/schema";
import type { CommandContext } from "./command_context.ts";
import type { CommandResult } from "./command_result.ts";
import { formatTable } from "./format_table.ts";
import { printResource } from "./print_resource.ts";

type TableSource = {
  readonly headings: readonly string[];
  readonly listRows: (
    view: ConfigurationView,
  ) => readonly (readonly unknown[])[];
};

/** Prints a part of the configuration as a table, or all of it as JSON. */
export function printConfigurationTable(
  context: CommandContext,
  { headings, listRows }: TableSource,
): Promise<CommandResult> {
  return printResource<ConfigurationView>(
    context,
    "/v1/operator/configuration",
    (view) => formatTable(headings, listRows(view)),
  );
}
