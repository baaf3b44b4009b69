import {
  checkLedgerState,
  describeProblems,
  type LedgerState,
} from "@heroncleat/schema";

/**
 * Validates a stored ledger and returns it in the present version. Version 1 is
 * the only one, so there are no migration steps.
 *
 * @throws {Error} if the version is unknown or the state is invalid.
 * @public
 */
export function migrateLedger(value: unknown): LedgerState {
  if (!checkLedgerState(value)) {
    const problem = describeProblems(checkLedgerState.errors);
    throw new Error(
      `The stored ledger can't be read: ${problem}. Remedy: start a release ` +
        "that knows this version, or empty this replica's data folder.",
    );
  }
  return value;
}
