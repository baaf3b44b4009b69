import type { Milliseconds } from "@heroncleat/base";
import type { ReportedCharges } from "./reported_charges.ts";

/** Charges that somebody else than the entry itself reports. @public */
export type RelayedCharges = ReportedCharges & {
  /** Time since the entry reported them. */
  readonly age: Milliseconds;
};
