import { createFault, createToken, type Fault } from "@heroncleat/base";
import type {
  ChangeResult,
  ConfigurationView,
  Edit,
  FaultBody,
} from "@heroncleat/schema";
import { Result } from "true-myth/result";
import type { CommandContext } from "./command_context.ts";
import type { CommandResult } from "./command_result.ts";
import { ExitCode } from "./exit_code.ts";

/** Builds edits from the configuration as it is. */
type EditBuilder = (view: ConfigurationView) => Result<Edit[], Fault>;

/**
 * Submits a change against the revision that was read, under an identifier of
 * its own. --revision and --change-id override both, to repeat a change whose
 * answer was lost.
 */
export async function submitChange(
  context: CommandContext,
  build: EditBuilder,
): Promise<CommandResult> {
  const read = await context.client.send("GET", "/v1/operator/configuration");
  if (read.isErr) {
    return Result.err(read.error);
  }
  if (read.value.status !== 200) {
    const { error } = read.value.body as FaultBody;
    return Result.err(createFault("forbidden", error.message));
  }
  const view = read.value.body as ConfigurationView;
  const edits = build(view);
  if (edits.isErr) {
    return Result.err(edits.error);
  }
  const { revision, "change-id": id } = context.options;
  const change = {
    id: id ?? createToken(),
    expectedRevision: Number(revision ?? view.revision),
    edits: edits.value,
  };
  const reply = await context.client.send(
    "POST",
    "/v1/operator/changes",
    change,
  );
  if (reply.isErr) {
    return Result.err(createFault(
      reply.error.kind,
      `${reply.error.message} To send the same change again, add ` +
        `--change-id ${change.id} --revision ${change.expectedRevision}.`,
    ));
  }
  return report(context, reply.value.body as ChangeResult | FaultBody);
}

function report(
  context: CommandContext,
  body: ChangeResult | FaultBody,
): CommandResult {
  if ("error" in body) {
    return Result.err(createFault("bad_request", body.error.message));
  }
  const line = `${body.outcome} revision=${body.revision} ` +
    `change=${body.changeId} ${body.message ?? ""}`;
  context.print(context.json ? JSON.stringify(body) : line.trimEnd());
  switch (body.outcome) {
    case "accepted":
      return Result.ok(ExitCode.done);
    case "conflict":
      return Result.ok(ExitCode.conflict);
    default:
      return Result.ok(ExitCode.refused);
  }
}
