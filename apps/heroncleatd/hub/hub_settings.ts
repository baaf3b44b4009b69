import type { FaultToleranceTarget } from "@heroncleat/consensus";
import type { RolloutLimits } from "@heroncleat/rollouts";

/** Settings of a control replica. */
export type HubSettings = {
  readonly name: string;
  readonly zone: string;
  /** host:port for calls from the system's own processes. */
  readonly peerAddress: string;
  /** Peer addresses of control processes; not all need to be running. */
  readonly seeds: readonly string[];
  /** Simultaneous losses that the group must survive. */
  readonly promisedLosses: FaultToleranceTarget;
  /**
   * Number of VMs with a replica that may be lost at once, including those of a
   * lost zone.
   */
  readonly toleratedLosses: number;
  /** Region of each availability zone. */
  readonly regions: Readonly<Record<string, string>>;
  /** Whether the whole system starts for the first time. */
  readonly isFirstStart: boolean;
  readonly dataFolder: string;
  /** Minimum time without a leader before an election, in ms. */
  readonly electionTimeout: number;
  /** Maximum clock drift as a share of a lease's length. */
  readonly clockDrift: number;
  /** Length of a usage window, in ms. */
  readonly usageWindow: number;
  /**
   * Time after the end of a usage window within which it is reported, in ms.
   */
  readonly usageDelay: number;
  /** Requests that an unproven version may get. */
  readonly rolloutLimits: RolloutLimits;
  /** Lease of the leader tasks, in which no second holder may act, in ms. */
  readonly leaderTaskLease: number;
};
