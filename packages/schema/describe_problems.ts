import type { ValidationProblem } from "./validation_problem.ts";

const MOST_PROBLEMS = 3;

/**
 * Says in one sentence what is wrong with a rejected value, first problem
 * first.
 *
 * @public
 * @example describeProblems(checkChatRequest.errors)
 */
export function describeProblems(
  problems: readonly ValidationProblem[] | null | undefined,
): string {
  const lines = (problems ?? []).slice(0, MOST_PROBLEMS).map(describeProblem);
  return lines.length === 0 ? "the value is malformed" : lines.join("; ");
}

function describeProblem(problem: ValidationProblem): string {
  const where = problem.instancePath === "" ? "body" : problem.instancePath;
  const allowed = problem.params["allowedValues"];
  if (Array.isArray(allowed)) {
    return `${where} must be one of ${allowed.join(", ")}`;
  }
  const extra = problem.params["additionalProperty"];
  if (typeof extra === "string") {
    return `${where} has the unknown field "${extra}"`;
  }
  return `${where} ${problem.message ?? "is malformed"}`;
}
