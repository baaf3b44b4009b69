import type { CapacitySettings } from "./capacity_settings.ts";

/** The planner's settings where nobody names others. @public */
export const CAPACITY_DEFAULTS: CapacitySettings = {
  headroom: 1.35,
  survivingShare: 1,
  reclaimRisk: 0.15,
  backoff: 5000,
  mostBackoff: 120_000,
  stopAfter: 60_000,
  mostStarts: 8,
};
