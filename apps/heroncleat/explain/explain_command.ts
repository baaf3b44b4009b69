import { createFault } from "@heroncleat/base";
import { Result } from "true-myth/result";
import type { CommandResult } from "../command_result.ts";
import { ExitCode } from "../exit_code.ts";
import { readLogFiles } from "../read_log_files.ts";
import { explainRequest } from "./explain_request.ts";
import { formatExplanation } from "./format_explanation.ts";

/** Inputs of `heroncleat explain`, which reads log files only. */
type ExplainOptions = {
  /** The request ID, then further log files. */
  readonly args: readonly string[];
  /** The first log file. */
  readonly logs: string | undefined;
  readonly json: boolean;
  readonly print: (text: string) => void;
};

/** Prints the timeline of one request from the logs of several processes. */
export function explainCommand(options: ExplainOptions): CommandResult {
  const [request, ...moreFiles] = options.args;
  if (request === undefined || options.logs === undefined) {
    return Result.err(createFault(
      "bad_request",
      "explain needs a request ID and log files. Remedy: use heroncleat " +
        "explain REQUEST_ID --logs FILE [FILE ...].",
    ));
  }
  const logLines = readLogFiles([options.logs, ...moreFiles]);
  if (logLines.isErr) {
    return Result.err(logLines.error);
  }
  const explanation = explainRequest(request, logLines.value);
  if (explanation === undefined) {
    return Result.err(createFault(
      "not_found",
      `These logs have no line about request ${request}. Remedy: give the ` +
        "logs of all entries for the time of the request.",
    ));
  }
  options.print(
    options.json
      ? JSON.stringify(explanation, undefined, 2)
      : formatExplanation(explanation),
  );
  return Result.ok(ExitCode.done);
}
