import type { Milliseconds } from "@heroncleat/base";
import type { WaitObservation } from "./wait_observation.ts";

/** A request that was sent and whose response hasn't begun. */
export type WaitingRequest = WaitObservation & {
  /** Identifier of the upstream that it was sent to. */
  readonly upstream: string;
  readonly service: string;
  readonly sentAt: Milliseconds;
  /** Bytes from its upstream at the last check, and when they last changed. */
  seenBytes: number;
  heardAt: Milliseconds;
};
