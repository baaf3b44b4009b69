import type { ValidationProblem } from "./validation_problem.ts";

/**
 * A generated validator. `errors` holds the problems that its last call found.
 *
 * @public
 */
export type Validator<Value> = {
  (value: unknown): value is Value;
  errors?: readonly ValidationProblem[] | null;
};
