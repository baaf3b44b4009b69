import type { FleetOrder, WorkspaceCounts } from "@heroncleat/serving";

/** The replica that currently holds the leader tasks. */
export type LeaderTaskHolder = {
  readonly name: string;
  /** Increases with every change of the holder. */
  readonly fencingToken: number;
};

/** Outcome of a call that only the holder of the leader tasks may make. */
export type LeaderTaskOutcome =
  | "accepted"
  /** A later holder has already made a call. */
  | "fenced"
  /** The call was not carried out and may be retried. */
  | "refused"
  /** The call may have been carried out, or may still be. */
  | "unknown";

/** Calls to the platform that exactly one replica makes at a time. */
export type LeaderTaskCalls = {
  reportUsage(
    holder: LeaderTaskHolder,
    report: { readonly window: number; readonly counts: WorkspaceCounts },
  ): Promise<LeaderTaskOutcome>;
  orderUpstreams(
    holder: LeaderTaskHolder,
    order: FleetOrder,
  ): Promise<LeaderTaskOutcome>;
};
