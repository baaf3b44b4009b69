import type { Scenario } from "./scenario.ts";

const ZONE_RECLAIM_AT_MS = 60_000;
const PEAK_START_MS = 50_000;
const PEAK_END_MS = 110_000;

/** Scenarios in which the policies are compared. */
export const SCENARIOS: readonly Scenario[] = [
  { name: "calm", load: () => 1 },
  {
    name: "peak at 2x",
    load: (at) => at >= PEAK_START_MS && at < PEAK_END_MS ? 2 : 1,
  },
  {
    name: "wave takes a zone",
    load: () => 1,
    zoneReclaim: { zone: "zone-a", at: ZONE_RECLAIM_AT_MS },
  },
  {
    name: "wave, starts refused",
    load: () => 1,
    zoneReclaim: { zone: "zone-a", at: ZONE_RECLAIM_AT_MS },
    refusesVmStarts: true,
  },
  { name: "slow upstream", load: () => 1, decodeSlowdown: 4 },
  { name: "cache events lost", load: () => 1, cacheEventLoss: 0.5 },
];
