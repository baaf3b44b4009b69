import type { VmClass } from "@heroncleat/schema";

/** A VM that is held or being started. @public */
export type HeldVm = {
  readonly name: string;
  readonly zone: string;
  readonly vmClass: VmClass;
  readonly price: number;
  readonly slots: number;
  readonly state: "starting" | "serving" | "leaving";
};
