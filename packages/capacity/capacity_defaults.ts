import type { CapacitySettings } from "./capacity_settings.ts";

/** Default settings of the capacity planner. @public */
export const CAPACITY_DEFAULTS: CapacitySettings = {
  headroom: 1.35,
  survivingShare: 1,
  reclaimRisk: 0.15,
  initialBackoff: 5000,
  maxBackoff: 120_000,
  scaleInDelay: 60_000,
  maxStarts: 8,
};
