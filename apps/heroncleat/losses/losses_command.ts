import { createFault } from "@heroncleat/base";
import { Result } from "true-myth/result";
import type { CommandResult } from "../command_result.ts";
import { ExitCode } from "../exit_code.ts";
import { readLogFiles } from "../read_log_files.ts";
import type { EndedRequest } from "./ended_request.ts";
import { formatLosses } from "./format_losses.ts";
import { readEndedRequest } from "./read_ended_request.ts";

/** Prints how many requests were late, refused or failed, and why. */
export function lossesCommand(
  files: readonly string[],
  print: (text: string) => void,
): CommandResult {
  if (files.length === 0) {
    return Result.err(createFault(
      "bad_request",
      "losses needs log files. Remedy: add --logs FILE [FILE ...].",
    ));
  }
  const logLines = readLogFiles(files);
  if (logLines.isErr) {
    return Result.err(logLines.error);
  }
  const requests: EndedRequest[] = [];
  for (const line of logLines.value) {
    const ended = readEndedRequest(line);
    if (ended !== undefined) {
      requests.push(ended);
    }
  }
  if (requests.length === 0) {
    return Result.err(createFault(
      "not_found",
      "These logs list no ended request. Remedy: give the logs of entries.",
    ));
  }
  print(formatLosses(requests));
  return Result.ok(ExitCode.done);
}
