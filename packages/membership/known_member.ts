import type { Milliseconds } from "@heroncleat/base";
import type { MemberRecord } from "@heroncleat/schema";

/** A member with what this entry remembers about it. @internal */
export type KnownMember = {
  record: MemberRecord;
  changedAt: Milliseconds;
  /** Messages the present record has ridden on. */
  transmissions: number;
};
