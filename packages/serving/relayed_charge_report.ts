import type { Milliseconds } from "@heroncleat/base";
import type { ChargeReport } from "./charge_report.ts";

/** Charges that somebody else than the entry itself reports. @public */
export type RelayedChargeReport = ChargeReport & {
  /** Time since the entry reported them. */
  readonly age: Milliseconds;
};
