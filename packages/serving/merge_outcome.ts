/**
 * What updates of an upstream brought: something new of it, only a sign of
 * life, or nothing, as later updates came before.
 *
 * @public
 */
export type MergeOutcome = "changed" | "received" | "late";
