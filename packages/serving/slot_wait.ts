import type { Milliseconds } from "@heroncleat/base";
import type { SlotQueue } from "./slot_queue.ts";

/**
 * Time until an upstream has a free slot for one more request. Its slots become
 * free one after the other, on average `slotTime / slots` apart; 0 while the
 * slot time isn't known.
 *
 * @public
 */
export function slotWait(
  { requests, slots, slotTime = 0 }: SlotQueue,
): Milliseconds {
  const queued = requests + 1 - slots;
  return queued <= 0 ? 0 : queued * slotTime / Math.max(1, slots);
}
