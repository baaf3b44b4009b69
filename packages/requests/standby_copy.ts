import type { Milliseconds } from "@heroncleat/base";
import type { RequestRecord, TextPiece } from "@heroncleat/schema";

/** A request as its standby holds it. @public */
export type StandbyCopy = {
  record: RequestRecord;
  readonly pieces: TextPiece[];
  finished: boolean;
  finishReason: string;
  /** When the deadline passes, on this entry's clock. */
  deadlineAt: Milliseconds;
  lastUpdateAt: Milliseconds;
  /** Set while this entry asks the ledger to become the owner. */
  isTakingOver: boolean;
};
