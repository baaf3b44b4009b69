/**
 * Types and validators of the messages between processes, the settings and the
 * stored records. The JSON Schema sources are in `sources/`; the code generated
 * from them is committed, so that the build doesn't run the generator.
 *
 * @module
 */
export * from "./generated/types.ts";
export * from "./generated/validators.ts";
export * from "./generated/settings_validator.ts";
export type { Validator } from "./validator.ts";
export { parseSettings } from "./parse_settings.ts";
export { describeProblems } from "./describe_problems.ts";
