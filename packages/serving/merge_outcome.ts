/**
 * Effect of an update of an upstream: its record changed, it was only a
 * heartbeat, or it was ignored because it is older than the record.
 *
 * @public
 */
export type MergeOutcome = "changed" | "received" | "late";
