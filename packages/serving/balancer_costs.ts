import type { Milliseconds } from "@heroncleat/base";
import type { SlotQueue } from "./slot_queue.ts";

/**
 * Costs that an `UpstreamBalancer` compares, so that a benchmark can play
 * several sets of them on the same load.
 *
 * @public
 */
export type BalancerCosts = {
  /** Time until a slot is free, which is part of `ChosenUpstream.waiting`. */
  readonly slotWait: (queue: SlotQueue) => Milliseconds;
  /** Cost of a queue beyond that time. */
  readonly queueCost: (queue: SlotQueue) => Milliseconds;
};
