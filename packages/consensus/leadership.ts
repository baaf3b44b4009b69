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
  heartbeatAt: Milliseconds;
  quorumHeardAt: Milliseconds;
  leaseUntil: Milliseconds;
  /** Set once leadership is being given away; the lease is void from then. */
  transferring: boolean;
  transferStartedAt: Milliseconds;
  /** Index of the entry of this term that must commit before reads. */
  readonly firstIndex: number;
  readonly reads: { readonly token: string; readonly round: number }[];
};
