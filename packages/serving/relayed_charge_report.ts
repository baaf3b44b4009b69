import type { Milliseconds } from "@heroncleat/base";
import type { ChargeReport } from "./charge_report.ts";

/** Charges of an entry that another process relays. @public */
export type RelayedChargeReport = ChargeReport & {
  /** Time since the entry reported them. */
  readonly age: Milliseconds;
};
