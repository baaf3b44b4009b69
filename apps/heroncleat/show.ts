import { createFault } from "@heroncleat/base";
import type { FaultBody } from "@heroncleat/schema";
import { Result } from "true-myth/result";
import type { CommandContext } from "./command_context.ts";
import type { CommandResult } from "./command_result.ts";
import { ExitCode } from "./exit_code.ts";

/** Reads one thing and prints it as a table, or as JSON. */
export async function show<Value>(
  context: CommandContext,
  path: string,
  format: (value: Value) => string,
): Promise<CommandResult> {
  const reply = await context.client.send("GET", path);
  if (reply.isErr) {
    return Result.err(reply.error);
  }
  const { status, body } = reply.value;
  if (status !== 200) {
    const { error } = body as FaultBody;
    return Result.err(createFault("forbidden", error.message));
  }
  context.print(
    context.json ? JSON.stringify(body, null, 2) : format(body as Value),
  );
  return Result.ok(ExitCode.done);
}
