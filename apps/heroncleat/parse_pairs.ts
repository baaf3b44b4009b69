import type { Fault } from "@heroncleat/base";
import { Result } from "true-myth/result";
import { usageFault } from "./usage_fault.ts";

/** Parses arguments of the form `key=value`. */
export function parsePairs(
  args: readonly string[],
): Result<Record<string, string>, Fault> {
  const pairs: Record<string, string> = {};
  for (const arg of args) {
    const separator = arg.indexOf("=");
    if (separator < 1) {
      return Result.err(
        usageFault(`${arg} is not key=value`, "write it as key=value"),
      );
    }
    pairs[arg.slice(0, separator)] = arg.slice(separator + 1);
  }
  return Result.ok(pairs);
}
