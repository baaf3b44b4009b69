import type { VmClass } from "@heroncleat/schema";

/** A VM of the fleet, until it is released. @public */
export type HeldVm = {
  readonly name: string;
  readonly zone: string;
  readonly vmClass: VmClass;
  readonly price: number;
  readonly slots: number;
  readonly state: "starting" | "serving" | "leaving";
};
