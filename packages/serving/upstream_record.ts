import type { Milliseconds } from "@heroncleat/base";

/** What one start of an upstream last said of itself. @public */
export type UpstreamRecord = {
  /** Identity of this start; see startId. Everything is kept by it. */
  readonly id: string;
  /** What the upstream is called; it may keep that when it starts again. */
  readonly name: string;
  /**
   * When it started, by the wall clock of its VM; undefined if it isn't stated.
   */
  readonly born: Milliseconds | undefined;
  readonly service: string;
  /** host:port */
  readonly address: string;
  readonly zone: string;
  /** Requests that it runs at once. */
  readonly slots: number;
  /** Rises with each heartbeat, so that a late one is recognized. */
  readonly sequence: number;
  readonly state: "ready" | "draining" | "gone";
  /** Whether the VM may be reclaimed. */
  readonly isSpot: boolean;
  /** Time left at the heartbeat until the VM is taken away, if known. */
  readonly leavesIn: Milliseconds | undefined;
};
