import {
  checkLedgerState,
  describeProblems,
  type LedgerState,
} from "@heroncleat/schema";

/**
 * Reads a persisted ledger of any version that was ever written. There is
 * one so far; a later version adds its step here.
 *
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
