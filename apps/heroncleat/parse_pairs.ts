import type { Fault } from "@heroncleat/base";
import { Result } from "true-myth/result";
import { usageFault } from "./usage_fault.ts";

/** Reads words of the form `key=value`. */
export function parsePairs(
  words: readonly string[],
): Result<Record<string, string>, Fault> {
  const pairs: Record<string, string> = {};
  for (const word of words) {
    const equals = word.indexOf("=");
    if (equals < 1) {
      return Result.err(
        usageFault(`${word} is not key=value`, "write it as key=value"),
      );
    }
    pairs[word.slice(0, equals)] = word.slice(equals + 1);
  }
  return Result.ok(pairs);
}
