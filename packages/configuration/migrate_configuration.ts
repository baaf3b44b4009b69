import {
  checkConfigurationState,
  type ConfigurationState,
  describeProblems,
} from "@heroncleat/schema";

/**
 * Validates a stored configuration and returns it in the present version.
 * Version 1 is the only one, so there are no migration steps.
 *
 * @throws {Error} if the version is unknown or the state is invalid.
 * @public
 */
export function migrateConfiguration(value: unknown): ConfigurationState {
  if (!checkConfigurationState(value)) {
    const problem = describeProblems(checkConfigurationState.errors);
    throw new Error(
      `The stored configuration can't be read: ${problem}. Remedy: start a ` +
        "release that knows this version, or empty this replica's data folder.",
    );
  }
  return value;
}
