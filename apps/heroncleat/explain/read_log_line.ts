import type { LogLine } from "./log_line.ts";

/**
 * Parses one line of a log; returns nothing for lines of other programs. Log
 * collectors put a prefix before the JSON, so it begins at the first brace.
 */
export function readLogLine(text: string): LogLine | undefined {
  const start = text.indexOf("{");
  if (start === -1) {
    return undefined;
  }
  let value: unknown;
  try {
    value = JSON.parse(text.slice(start));
  } catch {
    return undefined;
  }
  if (value === null || typeof value !== "object") {
    return undefined;
  }
  const { time, process, level, message, ...rest } = value as Record<
    string,
    unknown
  >;
  const at = typeof time === "string" ? Date.parse(time) : NaN;
  const isLogLine = !Number.isNaN(at) && typeof process === "string" &&
    typeof message === "string";
  if (!isLogLine) {
    return undefined;
  }
  const fields: Record<string, string | number> = {};
  for (const [name, field] of Object.entries(rest)) {
    fields[name] = typeof field === "number" ? field : String(field);
  }
  return { at, process, level: String(level), message, fields };
}
