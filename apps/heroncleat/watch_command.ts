import type { ConfigurationView } from "@heroncleat/schema";
import { Result } from "true-myth/result";
import type { CommandContext } from "./command_context.ts";
import type { CommandResult } from "./command_result.ts";
import { ExitCode } from "./exit_code.ts";

/** Prints each new revision as it takes effect, up to `--count` of them. */
export async function watchCommand(
  context: CommandContext,
): Promise<CommandResult> {
  const maxCount = Number(context.options["count"] ?? Infinity);
  let revision = Number(context.options["revision"] ?? 0);
  let printedCount = 0;
  while (printedCount < maxCount) {
    const path = `/v1/operator/watch?revision=${revision}`;
    const reply = await context.client.send("GET", path);
    if (reply.isErr) {
      return Result.err(reply.error);
    }
    const view = reply.value.body as ConfigurationView;
    if (view.revision > revision) {
      revision = view.revision;
      printedCount += 1;
      context.print(
        context.json ? JSON.stringify(view) : `revision ${revision}`,
      );
    }
  }
  return Result.ok(ExitCode.done);
}
