import type { FleetOrder, WorkspaceCounts } from "@heroncleat/serving";

/** Who makes a call that only the holder of a duty may make. */
export type DutyHolder = {
  readonly name: string;
  /** Rises whenever the holder changes. */
  readonly fencingToken: number;
};

/** What became of such a call. */
export type DutyOutcome =
  | "accepted"
  /** A later holder has acted. */
  | "fenced"
  /** It was not carried out and may be tried again. */
  | "refused"
  /** It may be carried out, now or later. */
  | "unknown";

/** Calls to the platform that only one process makes at a time. */
export type DutyCalls = {
  reportUsage(
    holder: DutyHolder,
    report: { readonly window: number; readonly counts: WorkspaceCounts },
  ): Promise<DutyOutcome>;
  orderUpstreams(holder: DutyHolder, order: FleetOrder): Promise<DutyOutcome>;
};
