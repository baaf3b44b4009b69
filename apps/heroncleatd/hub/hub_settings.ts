import type { FaultToleranceTarget } from "@heroncleat/consensus";

/** Settings of the control side of request forwarding. */
export type HubSettings = {
  readonly name: string;
  readonly zone: string;
  /** host:port for the system's own processes. */
  readonly peerAddress: string;
  /** Peer addresses of control replicas that may be up. */
  readonly seeds: readonly string[];
  /** What may be lost at once while everything goes on. */
  readonly promisedLosses: FaultToleranceTarget;
  /** VMs with a replica that may be lost at once, those of a lost zone too. */
  readonly toleratedLosses: number;
  /** Region of each availability zone. */
  readonly regions: Readonly<Record<string, string>>;
  /** Whether the whole system starts for the first time. */
  readonly isFirstStart: boolean;
  readonly dataFolder: string;
  /** Shortest time without a leader before an election, in ms. */
  readonly electionTimeout: number;
  /** Largest part of a lease's length that a clock may be off. */
  readonly clockDrift: number;
  /** Length of a usage window, in ms. */
  readonly usageWindow: number;
  /** Time after its end within which a window is to be reported, in ms. */
  readonly usageDelay: number;
  /** Time within which another holder of a duty must not act, in ms. */
  readonly dutyLease: number;
};
