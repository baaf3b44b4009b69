import type { Milliseconds } from "@heroncleat/base";
import type { FollowerProgress } from "./follower_progress.ts";

/** State that a replica has only while it leads. @internal */
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
  /** Set once a leadership transfer starts; the lease is invalid from then. */
  isTransferring: boolean;
  transferStartedAt: Milliseconds;
  /** Index of the first entry of this term; reads wait for its commit. */
  readonly termStartIndex: number;
  readonly pendingReads: { readonly token: string; readonly round: number }[];
};
