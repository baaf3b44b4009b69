import type { Milliseconds } from "@heroncleat/base";
import type { RequestRecord, TextPiece } from "@heroncleat/schema";

/**
 * A copy of a request at its standby.
 *
 * @public
 */
export type StandbyCopy = {
  record: RequestRecord;
  readonly pieces: TextPiece[];
  finished: boolean;
  finishReason: string;
  /** The deadline on this entry's clock. */
  deadlineAt: Milliseconds;
  lastUpdateAt: Milliseconds;
  /** Whether this entry is proposing to the ledger to become the owner. */
  isTakingOver: boolean;
};
