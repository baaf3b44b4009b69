/** A problem found by a generated validator, in the form of ajv. @public */
export type ValidationProblem = {
  readonly instancePath: string;
  readonly keyword: string;
  readonly message?: string;
  readonly params: Record<string, unknown>;
  readonly data?: unknown;
  readonly parentSchema?: { readonly description?: string };
};
