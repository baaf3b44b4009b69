import type { Milliseconds } from "@heroncleat/base";

/** Requests at an upstream that a further one would compete with for a slot. */
export type SlotQueue = {
  /** Requests in flight of all entries, as far as known. */
  readonly requests: number;
  readonly slots: number;
  /** Time that a request holds a slot; undefined while it isn't known. */
  readonly slotTime: Milliseconds | undefined;
};
