import type { DemandRow } from "./demand_row.ts";

/** Demand by service, of one entry or of all. @public */
export type DemandReport = Readonly<Record<string, readonly DemandRow[]>>;
