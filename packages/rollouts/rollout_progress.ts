import type { Milliseconds } from "@heroncleat/base";
import type { VersionVerdict } from "./assess_version.ts";

/** What the leader knows of a rollout when it plans the next step. @public */
export type RolloutProgress = {
  /** Time since the order. */
  readonly elapsed: Milliseconds;
  /** Time since the stage began. */
  readonly stageElapsed: Milliseconds;
  readonly verdict: VersionVerdict;
  /** Requests sent to the new version, and to all versions. */
  readonly exposed: number;
  readonly sent: number;
  /** Slots of ready upstreams: of the new version, and of the others. */
  readonly destinationSlots: number;
  readonly otherSlots: number;
  /**
   * Whether all entries follow the current stage and have no request in flight
   * at other versions.
   */
  readonly isDrained: boolean;
};
