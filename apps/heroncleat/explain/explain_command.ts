import { readFileSync } from "node:fs";
import { createFault, type Fault } from "@heroncleat/base";
import { Result } from "true-myth/result";
import type { CommandResult } from "../command_result.ts";
import { ExitCode } from "../exit_code.ts";
import { explainRequest } from "./explain_request.ts";
import { formatExplanation } from "./format_explanation.ts";
import type { LogLine } from "./log_line.ts";
import { readLogLine } from "./read_log_line.ts";

/** What `heroncleat explain` works with; it calls no process. */
type ExplainOptions = {
  /** The request's identifier, then more log files. */
  readonly words: readonly string[];
  /** The first log file. */
  readonly logs: string | undefined;
  readonly json: boolean;
  readonly print: (text: string) => void;
};

/** Shows what the logs of several processes tell of one request. */
export function explainCommand(options: ExplainOptions): CommandResult {
  const [request, ...more] = options.words;
  if (request === undefined || options.logs === undefined) {
    return Result.err(createFault(
      "bad_request",
      "explain needs an identifier and files. Remedy: heroncleat explain " +
        "REQUEST_ID --logs FILE [FILE ...].",
    ));
  }
  const read = readFiles([options.logs, ...more]);
  if (read.isErr) {
    return Result.err(read.error);
  }
  const explanation = explainRequest(request, read.value);
  if (explanation === undefined) {
    return Result.err(createFault(
      "not_found",
      `No line of these logs names request ${request}. Remedy: give the logs ` +
        "of all entries of that time.",
    ));
  }
  options.print(
    options.json
      ? JSON.stringify(explanation, undefined, 2)
      : formatExplanation(explanation),
  );
  return Result.ok(ExitCode.done);
}

function readFiles(files: readonly string[]): Result<LogLine[], Fault> {
  const lines: LogLine[] = [];
  for (const file of files) {
    let text: string;
    try {
      text = readFileSync(file, "utf8");
    } catch (error) {
      return Result.err(createFault(
        "bad_request",
        `Can't read ${file} (${
          (error as Error).message
        }). Remedy: name files ` +
          "that hold logs.",
      ));
    }
    for (const row of text.split("\n")) {
      const line = readLogLine(row);
      if (line !== undefined) {
        lines.push(line);
      }
    }
  }
  return Result.ok(lines);
}
