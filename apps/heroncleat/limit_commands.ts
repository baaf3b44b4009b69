import type { Fault } from "@heroncleat/base";
import type { ConfigurationView, Edit } from "@heroncleat/schema";
import { Result } from "true-myth/result";
import type { CommandContext } from "./command_context.ts";
import type { CommandResult } from "./command_result.ts";
import { formatTable } from "./format_table.ts";
import { show } from "./show.ts";
import { submitChange } from "./submit_change.ts";
import { usageFault } from "./usage_fault.ts";

const DEFAULT_WEIGHT = 1;
const DEFAULT_RUNNING = 1000;
const DEFAULT_QUEUED = 1000;

/** Commands about the limits of workspaces. */
export const limitCommands = {
  list(context: CommandContext): Promise<CommandResult> {
    return show<ConfigurationView>(
      context,
      "/v1/operator/configuration",
      (view) =>
        formatTable(
          ["WORKSPACE", "WEIGHT", "RUNNING", "QUEUED"],
          Object.values(view.limits).map((limit) => [
            limit.workspace,
            limit.weight,
            limit.maxRunning,
            limit.maxQueued,
          ]),
        ),
    );
  },

  set(context: CommandContext): Promise<CommandResult> {
    return submitChange(context, (view) => buildLimit(context, view));
  },

  remove(context: CommandContext): Promise<CommandResult> {
    const [workspace] = context.words;
    return submitChange(
      context,
      () =>
        workspace === undefined
          ? missingWorkspace()
          : Result.ok([{ kind: "limit_removed", workspace }]),
    );
  },
};

function buildLimit(
  context: CommandContext,
  view: ConfigurationView,
): Result<Edit[], Fault> {
  const [workspace] = context.words;
  if (workspace === undefined) {
    return missingWorkspace();
  }
  const before = view.limits[workspace];
  const { weight, running, queued } = context.options;
  const limit = {
    workspace,
    weight: Number(weight ?? before?.weight ?? DEFAULT_WEIGHT),
    maxRunning: Number(running ?? before?.maxRunning ?? DEFAULT_RUNNING),
    maxQueued: Number(queued ?? before?.maxQueued ?? DEFAULT_QUEUED),
  };
  return Result.ok([{ kind: "limit_set", limit }]);
}

function missingWorkspace(): Result<Edit[], Fault> {
  return Result.err(usageFault(
    "A workspace is missing",
    "write limit-set WORKSPACE [--weight N] [--running N] [--queued N]",
  ));
}
