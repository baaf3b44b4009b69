import type { MemberRecord, UpstreamRecord } from "@heroncleat/schema";

/** Who is notified of changes in the membership. */
export type MembershipListener = {
  readonly onMembers: (members: readonly MemberRecord[]) => void;
  readonly onUpstream: (upstream: UpstreamRecord) => void;
  readonly onUpstreamLapsed: (name: string) => void;
  /** Notified once, when this entry knows what the others know. */
  readonly onSynchronized: () => void;
};
