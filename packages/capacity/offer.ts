import type { VmClass } from "@heroncleat/schema";

/** A VM class in a zone, at the cloud's price. @public */
export type Offer = {
  readonly zone: string;
  readonly vmClass: VmClass;
  /** Price per hour. */
  readonly price: number;
  /** Requests that the VM runs concurrently. */
  readonly slots: number;
};
