import {
  checkConfigurationState,
  type ConfigurationState,
  describeProblems,
} from "@heroncleat/schema";

/**
 * Reads a persisted configuration of any version that was ever written.
 * There is one so far; a later version adds its step here.
 *
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
