import type { Milliseconds, Random } from "@heroncleat/base";
import type { FaultScenario } from "./fault_scenario.ts";
import { pause } from "./pause.ts";
import { randomDuration } from "./random_duration.ts";
import { startDeparture } from "./replace_upstream.ts";
import type { SoakDeployment } from "./soak_deployment.ts";
import type { SoakUpstream } from "./soak_upstream.ts";

/** Upstreams of a wave, and the pause between two waves. */
const WAVE_SIZES = [2, 3, Infinity];
const WAVE_PAUSE_MS = { min: 200, spread: 800 };
/** Share of the draining upstreams that crash, and when. */
const CRASH_SHARE = 0.5;
const CRASH_DELAY_MS = { min: 100, spread: 1000 };
/** Share of the drains beside which entries are killed. */
const KILL_SHARE = 0.3;
const KILL_DELAY_MS = { min: 0, spread: 800 };
/** Share of the entries that are killed together, and their downtime. */
const KILLED_SHARE = 0.35;
const DOWNTIME_MS = { min: 300, spread: 1500 };

const CHANGE_INTERVAL: Milliseconds = 250;
const SERIES_DURATION_MS = { min: 2000, spread: 4000 };
/** Share of the series at whose start upstreams crash. */
const SERIES_CRASH_SHARE = 0.5;
const MAX_SERIES_CRASHES = 3;

/** Drains all upstreams of a version, together or in waves. */
async function drainVersion(
  deployment: SoakDeployment,
  random: Random,
): Promise<void> {
  const version = deployment.pickUpstream()?.version;
  const listLeaving = () =>
    deployment.pickUpstreams(1).filter((upstream) =>
      upstream.version === version
    );
  if (version === undefined) {
    return;
  }
  for (const { zone } of listLeaving()) {
    await deployment.addUpstream(zone, { notVersion: version });
  }
  const size = WAVE_SIZES[Math.floor(random() * WAVE_SIZES.length)]!;
  const running: Promise<void>[] = [];
  if (random() < KILL_SHARE) {
    running.push(
      pause(randomDuration(random, KILL_DELAY_MS))
        .then(() => killEntriesTogether(deployment, random)),
    );
  }
  const leaving = listLeaving();
  while (leaving.length > 0) {
    const wave = leaving.splice(0, size);
    running.push(
      ...wave.map((upstream) => drain(deployment, random, upstream)),
    );
    await pause(randomDuration(random, WAVE_PAUSE_MS));
  }
  await Promise.all(running);
}

async function drain(
  deployment: SoakDeployment,
  random: Random,
  upstream: SoakUpstream,
): Promise<void> {
  // Another fault may have struck it since it was picked.
  if (!upstream.isReady) {
    return;
  }
  await startDeparture(deployment, random, { upstream, mode: "drains" });
  if (random() < CRASH_SHARE) {
    await pause(randomDuration(random, CRASH_DELAY_MS));
    await upstream.shutDown("crashes");
  }
}

/** Kills several entries at one moment; control VMs aren't affected. */
async function killEntriesTogether(
  deployment: SoakDeployment,
  random: Random,
): Promise<void> {
  const killed = deployment.activeMachines().filter(({ hasReplica }) =>
    !hasReplica && random() < KILLED_SHARE
  );
  const ends = killed.map(({ host }) => deployment.beginDisturbance(host));
  for (const machine of killed) {
    machine.signal("SIGKILL");
  }
  await pause(randomDuration(random, DOWNTIME_MS));
  for (const machine of killed) {
    deployment.startMachine(machine);
  }
  ends.forEach((end) => end());
}

/**
 * Changes the configuration again and again; upstreams may restart under the
 * same names meanwhile.
 */
async function changeInSeries(
  deployment: SoakDeployment,
  random: Random,
): Promise<void> {
  const crashes = random() < SERIES_CRASH_SHARE
    ? Math.ceil(random() * MAX_SERIES_CRASHES)
    : 0;
  for (let crashed = 0; crashed < crashes; crashed += 1) {
    void deployment.pickUpstream()?.crash();
  }
  const until = performance.now() + randomDuration(random, SERIES_DURATION_MS);
  while (performance.now() < until) {
    const changes = [
      { furtherRoutes: Math.floor(random() * 4) },
      { timeout: 3000 + Math.floor(random() * 3000) },
      { idleTimeout: 2000 + Math.floor(random() * 13_000) },
      { workspaceRates: [1 + random() * 10, 1 + random() * 100] },
      { workspaceRates: [] },
    ];
    const change = changes[Math.floor(random() * changes.length)]!;
    await deployment.documents.publish(change);
    await pause(CHANGE_INTERVAL);
  }
}

/** Faults of a whole version or of the configuration. */
export const versionFaultScenarios: readonly FaultScenario[] = [
  drainVersion,
  killEntriesTogether,
  changeInSeries,
];
