import type { LogLine } from "./log_line.ts";

/**
 * Finds the lines of a request and, if its caller resumed the stream or resumes
 * one with it, of all attempts at that stream.
 */
export function linesOfStream(
  request: string,
  lines: readonly LogLine[],
): LogLine[] {
  const streams = new Set([request]);
  for (const { fields } of lines) {
    if (fields["request"] === request && fields["resumes"]) {
      streams.add(String(fields["resumes"]));
    }
  }
  return lines.filter(({ fields }) =>
    streams.has(String(fields["request"])) ||
    streams.has(String(fields["resumes"]))
  );
}
