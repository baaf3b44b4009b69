import type { VmClass } from "@heroncleat/schema";

/** A kind of VM that the cloud offers. @public */
export type Offer = {
  readonly zone: string;
  readonly vmClass: VmClass;
  /** Price for an hour. */
  readonly price: number;
  /** Requests that one such VM runs at once. */
  readonly slots: number;
};
