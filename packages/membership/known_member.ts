import type { Milliseconds } from "@heroncleat/base";
import type { MemberRecord } from "@heroncleat/schema";

/** The latest record of a member, with its local state. @internal */
export type KnownMember = {
  record: MemberRecord;
  stateChangedAt: Milliseconds;
  /** Messages that have carried the present record. */
  transmissions: number;
};
