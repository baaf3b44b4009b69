import type { Milliseconds } from "@heroncleat/base";

/** The last state that an upstream instance reported. @public */
export type UpstreamRecord = {
  /** ID of the instance, the key of all state; see instanceId. */
  readonly id: string;
  /** Name of the upstream, which may stay the same across restarts. */
  readonly name: string;
  /** Start time by the wall clock of the VM; undefined if not reported. */
  readonly born: Milliseconds | undefined;
  readonly service: string;
  /** host:port */
  readonly address: string;
  readonly zone: string;
  /** Version of its software; absent if it isn't reported. */
  readonly version?: string | undefined;
  /** Whether it is still slow after its start. */
  readonly isCold?: boolean | undefined;
  /** Number of requests that it runs concurrently. */
  readonly slots: number;
  /** Increases with each heartbeat, so that late ones can be detected. */
  readonly sequence: number;
  readonly state: "ready" | "draining" | "gone";
  /**
   * Whether its departure named no start, so that it may be about a later
   * instance of the same name.
   */
  readonly isStartUnnamed?: boolean | undefined;
  /** Whether the VM may be reclaimed. */
  readonly isSpot: boolean;
  /** Time from the heartbeat until the VM is reclaimed, if known. */
  readonly leavesIn: Milliseconds | undefined;
};
