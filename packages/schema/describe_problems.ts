import type { ValidationProblem } from "./validation_problem.ts";

const MAX_PROBLEMS = 3;

/**
 * Describes the first problems of a rejected value in one line, for error
 * messages.
 *
 * @public
 * @example describeProblems(checkChatRequest.errors)
 */
export function describeProblems(
  problems: readonly ValidationProblem[] | null | undefined,
): string {
  const descriptions = (problems ?? []).slice(0, MAX_PROBLEMS).map(
    describeProblem,
  );
  return descriptions.length === 0
    ? "the value is malformed"
    : descriptions.join("; ");
}

function describeProblem(problem: ValidationProblem): string {
  const location = problem.instancePath === "" ? "body" : problem.instancePath;
  const allowedValues = problem.params["allowedValues"];
  if (Array.isArray(allowedValues)) {
    return `${location} must be one of ${allowedValues.join(", ")}`;
  }
  const unknownField = problem.params["additionalProperty"];
  if (typeof unknownField === "string") {
    return `${location} has the unknown field "${unknownField}"`;
  }
  return `${location} ${problem.message ?? "is malformed"}`;
}
