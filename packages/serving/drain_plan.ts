import { createSeededRandom, type Milliseconds } from "@heroncleat/base";

/** Time before the first disturbance, and after the last one. */
const CALM_TIME: Milliseconds = 3000;
const DISTURBANCE_INTERVAL: Milliseconds = 2500;
const DRAWS = 97;

/** A disturbance, with random numbers that are the same for all policies. */
export type DrainDisturbance = {
  readonly at: Milliseconds;
  readonly kind: number;
  readonly draws: readonly number[];
};

/** Disturbances of a simulation of drains. @internal */
export function planDrains(
  { seed, duration }: { seed: number; duration: Milliseconds },
): DrainDisturbance[] {
  const random = createSeededRandom(seed * 104_729 + 11);
  const plan: DrainDisturbance[] = [];
  let at = CALM_TIME;
  while (at < duration - CALM_TIME) {
    const draws = Array.from({ length: DRAWS }, () => random());
    plan.push({ at, kind: random(), draws });
    at += DISTURBANCE_INTERVAL * (0.5 + random());
  }
  return plan;
}
