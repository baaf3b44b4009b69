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

/** Builds edits from the current configuration. */
type EditBuilder = (view: ConfigurationView) => Result<Edit[], Fault>;

/**
 * Submits a change that is based on the current revision, under a new ID.
 * --revision and --change-id override both, to retry a change whose response
 * was lost.
 */
export async function submitChange(
  context: CommandContext,
  build: EditBuilder,
): Promise<CommandResult> {
  const configuration = await context.client.send(
    "GET",
    "/v1/operator/configuration",
  );
  if (configuration.isErr) {
    return Result.err(configuration.error);
  }
  if (configuration.value.status !== 200) {
    const { error } = configuration.value.body as FaultBody;
    return Result.err(createFault("forbidden", error.message));
  }
  const view = configuration.value.body as ConfigurationView;
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
  const response = await context.client.send(
    "POST",
    "/v1/operator/changes",
    change,
  );
  if (response.isErr) {
    return Result.err(createFault(
      response.error.kind,
      `${response.error.message} To retry the same change, add ` +
        `--change-id ${change.id} --revision ${change.expectedRevision}.`,
    ));
  }
  return printResult(context, response.value.body as ChangeResult | FaultBody);
}

function printResult(
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
