/**
 * The messages, settings and records that cross a process or a disk, with
 * their validators. Sources are in `sources/`; the code in `generated/` is
 * committed so that the build needs no generator.
 *
 * @module
 */
export * from "./generated/types.ts";
export * from "./generated/validators.ts";
export * from "./generated/settings_validator.ts";
export type { Validator } from "./validator.ts";
export { parseSettings } from "./parse_settings.ts";
export { describeProblems } from "./describe_problems.ts";
