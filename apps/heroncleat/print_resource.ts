import { createFault } from "@heroncleat/base";
import type { FaultBody } from "@heroncleat/schema";
import { Result } from "true-myth/result";
import type { CommandContext } from "./command_context.ts";
import type { CommandResult } from "./command_result.ts";
import { ExitCode } from "./exit_code.ts";

/** Fetches a resource of the operator API and prints it as text or JSON. */
export async function printResource<Value>(
  context: CommandContext,
  path: string,
  format: (value: Value) => string,
): Promise<CommandResult> {
  const response = await context.client.send("GET", path);
  if (response.isErr) {
    return Result.err(response.error);
  }
  const { status, body } = response.value;
  if (status !== 200) {
    const { error } = body as FaultBody;
    return Result.err(createFault("forbidden", error.message));
  }
  context.print(
    context.json ? JSON.stringify(body, null, 2) : format(body as Value),
  );
  return Result.ok(ExitCode.done);
}
