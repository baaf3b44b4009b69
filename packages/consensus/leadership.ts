import type { Milliseconds } from "@heroncleat/base";
import type { FollowerProgress } from "./follower_progress.ts";

/** State that exists only while a replica leads. @internal */
export type Leadership = {
  readonly progress: Map<string, FollowerProgress>;
  /** Number of the last heartbeat round. */
  round: number;
  /** When each unconfirmed round was sent, on the `now` clock. */
  readonly roundSentAt: Map<number, Milliseconds>;
  confirmedRound: number;
  nextHeartbeatAt: Milliseconds;
  lastQuorumContactAt: Milliseconds;
  leaseUntil: Milliseconds;
  /** Set once leadership is being given away; the lease is void from then. */
  isTransferring: boolean;
  transferStartedAt: Milliseconds;
  /** Index of the entry of this term that must commit before reads. */
  readonly termStartIndex: number;
  readonly pendingReads: { readonly token: string; readonly round: number }[];
};
