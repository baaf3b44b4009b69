import type { Milliseconds } from "@heroncleat/base";
import type { Rollout, RolloutOrder } from "@heroncleat/rollouts";
import type { ServingDocument, UpstreamRecord } from "@heroncleat/serving";
import type { PublishOutcome } from "./publish_outcome.ts";
import type { RolloutOutcome } from "./rollout_outcome.ts";
import type { StoredDocument } from "./serving_application.ts";
import type { UpdateOutcome } from "./update_outcome.ts";

/** Operations that a control process offers to operators and upstreams. */
export type RunningHub = {
  /**
   * Publishes a validated configuration document; accepted once a quorum has
   * stored it.
   */
  publish(document: ServingDocument, source: string): Promise<PublishOutcome>;
  /**
   * Reads the newest configuration document: `none` if none was published,
   * `unavailable` if no quorum confirms it.
   */
  readDocument(): Promise<StoredDocument | "none" | "unavailable">;
  /** Orders a rollout; accepted once a quorum has stored it. */
  startRollout(order: RolloutOrder): Promise<RolloutOutcome>;
  /**
   * Reads the latest rollout of a service: `none` if none was ordered,
   * `unavailable` if no quorum confirms it.
   */
  readRollout(service: string): Promise<Rollout | "none" | "unavailable">;
  /** Merges a heartbeat of an upstream. */
  mergeUpstream(record: UpstreamRecord): Promise<UpdateOutcome>;
  /** Counts and logs a malformed update of an upstream. */
  recordUnreadable(name: string, problem: string): void;
  /**
   * Records that an upstream is gone.
   *
   * @param born When the departing instance started, if it reported that.
   */
  removeUpstream(name: string, born?: Milliseconds): Promise<UpdateOutcome>;
  stop(): Promise<void>;
};
