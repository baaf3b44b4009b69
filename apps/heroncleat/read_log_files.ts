import { readFileSync } from "node:fs";
import { createFault, type Fault } from "@heroncleat/base";
import { Result } from "true-myth/result";
import type { LogLine } from "./explain/log_line.ts";
import { readLogLine } from "./explain/read_log_line.ts";

/** Reads the lines of heroncleat processes from log files. */
export function readLogFiles(
  files: readonly string[],
): Result<LogLine[], Fault> {
  const lines: LogLine[] = [];
  for (const file of files) {
    let text: string;
    try {
      text = readFileSync(file, "utf8");
    } catch (error) {
      const { message } = error as Error;
      return Result.err(createFault(
        "bad_request",
        `Can't read ${file} (${message}). Remedy: give readable log files.`,
      ));
    }
    for (const rawLine of text.split("\n")) {
      const line = readLogLine(rawLine);
      if (line !== undefined) {
        lines.push(line);
      }
    }
  }
  return Result.ok(lines);
}
