import type { Milliseconds, Random } from "@heroncleat/base";
import type { FaultInjection } from "./fault_mode.ts";
import type { Machine } from "./machine.ts";
import { pause } from "./pause.ts";
import { randomDuration } from "./random_duration.ts";
import type { SoakDeployment } from "./soak_deployment.ts";
import { stopEntry } from "./stop_entry.ts";

/** Series of stops that overlap. */
const SERIES = 2;
/** Time between two signals of a series. */
const STOP_INTERVAL_MS = { min: 700, spread: 2300 };
/** Time from a start of an entry to its next stop: it has little history. */
const UPTIME_MS = { min: 15_000, spread: 25_000 };
/** The same for the first stop, so that a soak begins with stops. */
const FIRST_UPTIME_MS = { min: 1000, spread: 15_000 };

/** Stops entries in overlapping series, and injects no other fault. */
export async function injectPlannedStops(
  deployment: SoakDeployment,
  { until, note, createRandom }: FaultInjection,
): Promise<void> {
  const random = createRandom(1);
  const stopsAt = new Map<Machine, Milliseconds>();
  for (const machine of deployment.activeMachines()) {
    const uptime = randomDuration(random, FIRST_UPTIME_MS);
    stopsAt.set(machine, performance.now() + uptime);
  }
  const stopNext = async () => {
    const machine = takeNext(stopsAt);
    if (machine === undefined) {
      return;
    }
    note(stopEntry.name);
    await stopEntry(deployment, machine);
    const uptime = randomDuration(random, UPTIME_MS);
    stopsAt.set(machine, performance.now() + uptime);
  };
  const series = Array.from(
    { length: SERIES },
    () => playSeries({ until, random, stopNext }),
  );
  await Promise.all(series);
}

async function playSeries(
  { until, random, stopNext }: {
    until: Milliseconds;
    random: Random;
    stopNext: () => Promise<void>;
  },
): Promise<void> {
  const stopping: Promise<void>[] = [];
  while (performance.now() < until) {
    stopping.push(stopNext());
    await pause(randomDuration(random, STOP_INTERVAL_MS));
  }
  await Promise.all(stopping);
}

/** Takes the entry whose stop has been due for the longest. */
function takeNext(stopsAt: Map<Machine, Milliseconds>): Machine | undefined {
  const [next] = [...stopsAt].sort(([, left], [, right]) => left - right);
  if (next === undefined || next[1] > performance.now()) {
    return undefined;
  }
  stopsAt.delete(next[0]);
  return next[0];
}
