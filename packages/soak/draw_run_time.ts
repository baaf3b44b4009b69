import type { Milliseconds, Random } from "@heroncleat/base";
import { randomDuration } from "./random_duration.ts";
import type { Workload } from "./workload.ts";

/** Service time of a short run, and of a long one without a tail. */
const SHORT_MS = { min: 10, spread: 60 };
const LONG_MS = { min: 500, spread: 1500 };
/** Least time of a run whose duration has an exponential tail. */
const TAIL_MIN: Milliseconds = 400;

/** Draws how long an upstream works on a request. */
export function drawRunTime(
  random: Random,
  { longShare, tailShare, tail }: Workload,
): { isLong: boolean; duration: Milliseconds } {
  if (random() >= longShare) {
    return { isLong: false, duration: randomDuration(random, SHORT_MS) };
  }
  const duration = random() < tailShare
    ? TAIL_MIN - tail * Math.log(1 - random())
    : randomDuration(random, LONG_MS);
  return { isLong: true, duration };
}
