import type { RolloutCommand } from "@heroncleat/rollouts";
import type { WorkspaceCounts } from "@heroncleat/serving";

/** A change to the replicated state of request forwarding. */
export type ServingCommand =
  /**
   * Replaces the configuration document unless the stored version is the same
   * or newer.
   */
  | {
    readonly kind: "publish";
    readonly version: number;
    readonly source: string;
  }
  /** Settles the counts of a usage window before they are reported. */
  | {
    readonly kind: "settle_usage";
    readonly window: number;
    readonly counts: WorkspaceCounts;
  }
  | RolloutCommand;
