import type { Scenario } from "./scenario.ts";

const WAVE_AT = 60_000;
const PEAK_FROM = 50_000;
const PEAK_UNTIL = 110_000;

/** The situations that the policies are compared in. */
export const SCENARIOS: readonly Scenario[] = [
  { name: "calm", load: () => 1 },
  {
    name: "peak at 2x",
    load: (at) => at >= PEAK_FROM && at < PEAK_UNTIL ? 2 : 1,
  },
  {
    name: "wave takes a zone",
    load: () => 1,
    wave: { zone: "zone-a", at: WAVE_AT },
  },
  {
    name: "wave, starts refused",
    load: () => 1,
    wave: { zone: "zone-a", at: WAVE_AT },
    startsRefused: true,
  },
  { name: "slow upstream", load: () => 1, slowUpstream: 4 },
  { name: "cache events lost", load: () => 1, cacheLoss: 0.5 },
];
