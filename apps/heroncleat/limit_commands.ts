import { type Fault, ownValue } from "@heroncleat/base";
import type { ConfigurationView, Edit } from "@heroncleat/schema";
import { Result } from "true-myth/result";
import type { CommandContext } from "./command_context.ts";
import type { CommandResult } from "./command_result.ts";
import { printConfigurationTable } from "./print_configuration_table.ts";
import { submitChange } from "./submit_change.ts";
import { usageFault } from "./usage_fault.ts";

const DEFAULT_WEIGHT = 1;
const DEFAULT_MAX_RUNNING = 1000;
const DEFAULT_MAX_QUEUED = 1000;

/** Commands that list and change the limits of workspaces. */
export const limitCommands = {
  list(context: CommandContext): Promise<CommandResult> {
    return printConfigurationTable(context, {
      headings: ["WORKSPACE", "WEIGHT", "RUNNING", "QUEUED"],
      listRows: (view) =>
        Object.values(view.limits).map((limit) => [
          limit.workspace,
          limit.weight,
          limit.maxRunning,
          limit.maxQueued,
        ]),
    });
  },

  set(context: CommandContext): Promise<CommandResult> {
    return submitChange(context, (view) => buildLimit(context, view));
  },

  remove(context: CommandContext): Promise<CommandResult> {
    const [workspace] = context.args;
    return submitChange(
      context,
      () =>
        workspace === undefined
          ? missingWorkspaceError()
          : Result.ok([{ kind: "limit_removed", workspace }]),
    );
  },
};

function buildLimit(
  context: CommandContext,
  view: ConfigurationView,
): Result<Edit[], Fault> {
  const [workspace] = context.args;
  if (workspace === undefined) {
    return missingWorkspaceError();
  }
  const existing = ownValue(view.limits, workspace);
  const { weight, running, queued } = context.options;
  const limit = {
    workspace,
    weight: Number(weight ?? existing?.weight ?? DEFAULT_WEIGHT),
    maxRunning: Number(running ?? existing?.maxRunning ?? DEFAULT_MAX_RUNNING),
    maxQueued: Number(queued ?? existing?.maxQueued ?? DEFAULT_MAX_QUEUED),
  };
  return Result.ok([{ kind: "limit_set", limit }]);
}

function missingWorkspaceError(): Result<Edit[], Fault> {
  return Result.err(usageFault(
    "The workspace is missing",
    "use limit-set WORKSPACE [--weight N] [--running N] [--queued N]",
  ));
}
