import type { Milliseconds } from "@heroncleat/base";
import type { SlotQueue } from "./slot_queue.ts";
import { slotWait } from "./slot_wait.ts";

/** Slot time that is assumed until a request has ended. */
const ASSUMED_SLOT_TIME: Milliseconds = 1000;

/**
 * Cost of a queue for slots beyond the time that is known to be spent in it, so
 * that full upstreams are avoided before the slot time of their service is
 * known.
 *
 * @public
 */
export function queueCost(
  { requests, slots, slotTime }: SlotQueue,
): Milliseconds {
  return slotTime === undefined
    ? slotWait({ requests, slots, slotTime: ASSUMED_SLOT_TIME })
    : 0;
}
