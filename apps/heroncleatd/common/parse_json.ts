import { createFault, type Fault } from "@heroncleat/base";
import { describeProblems, type Validator } from "@heroncleat/schema";
import { Result } from "true-myth/result";

/** Parses JSON bytes and validates the value against a schema. */
export function parseJson<Value>(
  bytes: Buffer,
  check: Validator<Value>,
): Result<Value, Fault> {
  let value: unknown;
  try {
    value = JSON.parse(bytes.toString("utf8"));
  } catch (error) {
    return Result.err(createFault(
      "bad_request",
      `The body is not JSON (${(error as Error).message}). Remedy: send a ` +
        "JSON object.",
    ));
  }
  if (!check(value)) {
    return Result.err(createFault(
      "bad_request",
      `${describeProblems(check.errors)}. Remedy: correct the body; ` +
        "docs/USAGE.md shows examples.",
    ));
  }
  return Result.ok(value);
}
