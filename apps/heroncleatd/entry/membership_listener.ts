import type { MemberRecord, UpstreamRecord } from "@heroncleat/schema";

/** Callbacks for membership changes. */
export type MembershipListener = {
  readonly onMembers: (members: readonly MemberRecord[]) => void;
  readonly onUpstream: (upstream: UpstreamRecord) => void;
  readonly onUpstreamLapsed: (name: string) => void;
  /** Called once, when this entry has received the state of the others. */
  readonly onSynchronized: () => void;
};
