import type { Random } from "@heroncleat/base";
import { cutFromUpstreams } from "./cut_from_upstreams.ts";
import { randomDuration } from "./random_duration.ts";
import type { Machine } from "./machine.ts";
import { pause } from "./pause.ts";
import { replaceUpstream } from "./replace_upstream.ts";
import type { SoakDeployment } from "./soak_deployment.ts";
import { stopEntry } from "./stop_entry.ts";
import { versionFaultScenarios } from "./version_fault_scenarios.ts";
import type { FaultScenario } from "./fault_scenario.ts";

/** Limits the processes on the machine that runs the soak. */
const MAX_MACHINES = 18;
/** Network delay in each direction. */
const MAX_DELAY_MS = 100;

/** Time for which a caller repeats a crashing request. */
const REPEAT_DURATION_MS = { min: 6000, spread: 8000 };
const REPEAT_PAUSE_MS = { min: 100, spread: 500 };
const MAX_CONCURRENT_CRASHES = 3;

/** Requests per second that upstreams state as their limits. */
const RATE_LIMITS = [0.5, 1, 2.5, 8, 20];
const LIMIT_DURATION_MS = { min: 4000, spread: 8000 };
/** Requests per second that upstreams can reject. */
const REJECTION_LIMITS = [1, 3, 8];
/** Upstreams that may crash in one such time, and a tenth of them. */
const TOLERATED_OVERLOADS = 2;
/** Rests that upstreams ask for, and the times in which they reject. */
const RESTS_MS = [200, 1500, 3000, 6000];
const REST_PERIOD_MS = { min: 3000, spread: 8000 };
const REJECTION_MS = { min: 200, spread: 2000 };
/** Share of the waves of limits that affect all upstreams. */
const ALL_LIMITED_SHARE = 0.25;

/** Share of the upstreams that send bytes without end. */
const ENDLESS_SHARE = 0.3;
const ENDLESS_DURATION_MS = { min: 500, spread: 2500 };

/** Planned stops of a series, and the time between two of them. */
const MAX_STOPS = 3;
const STOP_INTERVAL_MS = { min: 700, spread: 1300 };

/** Restarts in a row, and the pause between two signals of one. */
const MAX_RESTARTS = 3;
const SIGNAL_PAUSE_MS = { min: 0, spread: 800 };
/** Share of the shutdowns that another fault cuts short. */
const OVERLAP_SHARE = 0.5;

/** Faults of a single entry VM. */
const entryFaultScenarios: readonly ((
  deployment: SoakDeployment,
  random: Random,
  machine: Machine,
) => Promise<void>)[] = [
  async function kill(deployment, random, machine) {
    machine.signal("SIGKILL");
    await pause(randomDuration(random, { min: 300, spread: 1500 }));
    deployment.startMachine(machine);
  },
  async function freeze(_deployment, random, machine) {
    machine.signal("SIGSTOP");
    await pause(randomDuration(random, { min: 500, spread: 4000 }));
    machine.signal("SIGCONT");
  },
  async function blackhole(deployment, _random, machine) {
    for (const { host } of deployment.replicaMachines()) {
      deployment.proxy.blackhole(machine.host, host);
    }
  },
  async function reset(deployment, _random, machine) {
    deployment.proxy.reset(machine.host);
  },
  async function delay(deployment, random, machine) {
    deployment.proxy.delay(machine.host, MAX_DELAY_MS * random());
    await pause(randomDuration(random, { min: 1000, spread: 2000 }));
    deployment.proxy.delay(machine.host, 0);
  },
  async function stepClock(_deployment, random, machine) {
    machine.injectFaults({ clockAhead: Math.round((random() - 0.5) * 8000) });
    await pause(randomDuration(random, { min: 1000, spread: 3000 }));
    machine.injectFaults({});
  },
  async function suspend(_deployment, random, machine) {
    await machine.suspend(randomDuration(random, { min: 1000, spread: 8000 }));
  },
  async function restartInSeries(deployment, random, machine) {
    const restarts = 1 + Math.floor(random() * MAX_RESTARTS);
    for (let restarted = 0; restarted < restarts; restarted += 1) {
      machine.signal("SIGTERM");
      await pause(randomDuration(random, SIGNAL_PAUSE_MS));
      machine.signal("SIGSTOP");
      await pause(randomDuration(random, SIGNAL_PAUSE_MS));
      machine.signal("SIGCONT");
      if (random() < OVERLAP_SHARE) {
        machine.signal(random() < 0.5 ? "SIGTERM" : "SIGKILL");
      }
      await machine.waitForExit();
      deployment.startMachine(machine);
      await pause(randomDuration(random, SIGNAL_PAUSE_MS));
    }
  },
];

/** Injects a fault into one entry VM; control VMs aren't affected. */
async function disturbEntry(
  deployment: SoakDeployment,
  random: Random,
): Promise<void> {
  const entries = deployment.activeMachines().filter(({ hasReplica }) =>
    !hasReplica
  );
  const machine = entries[Math.floor(random() * entries.length)];
  const scenario =
    entryFaultScenarios[Math.floor(random() * entryFaultScenarios.length)]!;
  if (machine !== undefined) {
    const end = deployment.beginDisturbance(machine.host);
    await scenario(deployment, random, machine);
    end();
  }
}

/** Adds a VM to the deployment. */
async function addEntry(
  deployment: SoakDeployment,
  random: Random,
): Promise<void> {
  if (deployment.activeMachines().length >= MAX_MACHINES) {
    return;
  }
  const at = Math.floor(random() * deployment.zones.length);
  const machine = deployment.addMachine(deployment.zones[at]!, {
    hasControlProcess: false,
    hasReplica: false,
  });
  deployment.beginDisturbance(machine.host)();
  deployment.startMachine(machine);
}

async function publish(deployment: SoakDeployment): Promise<void> {
  await deployment.documents.publish();
}

async function leave(
  deployment: SoakDeployment,
  random: Random,
): Promise<void> {
  await replaceUpstream(deployment, random);
}

/**
 * Sends one crashing request repeatedly, or different ones with a crashing part
 * of their prompts, to random entries.
 */
async function repeatCrashing(
  deployment: SoakDeployment,
  random: Random,
): Promise<void> {
  const { crashing } = deployment;
  const isNonIdempotent = random() < 0.5;
  const request = random() < 0.5
    ? crashing.create({ isNonIdempotent })
    : crashing.createPart({ isNonIdempotent });
  const until = performance.now() + randomDuration(random, REPEAT_DURATION_MS);
  while (performance.now() < until) {
    await crashing.send(request);
    await pause(randomDuration(random, REPEAT_PAUSE_MS));
  }
}

/** Crashes some upstreams at the same time; they restart later. */
async function crashUpstreams(
  deployment: SoakDeployment,
  random: Random,
): Promise<void> {
  const count = 1 + Math.floor(random() * MAX_CONCURRENT_CRASHES);
  for (let crashed = 0; crashed < count; crashed += 1) {
    void deployment.pickUpstream()?.crash();
  }
  await pause(0);
}

/** Some upstreams, or all, state a rate limit for a while. */
async function limitRates(
  deployment: SoakDeployment,
  random: Random,
): Promise<void> {
  const rate = RATE_LIMITS[Math.floor(random() * RATE_LIMITS.length)]!;
  const share = random() < ALL_LIMITED_SHARE ? 1 : random();
  const limited = deployment.pickUpstreams(share);
  for (const upstream of limited) {
    upstream.stateRateLimit(rate);
  }
  await pause(randomDuration(random, LIMIT_DURATION_MS));
  for (const upstream of limited) {
    upstream.stateRateLimit(undefined);
  }
}

/** Upstreams reject everything, with breaks, and ask for rest. */
async function askForRest(
  deployment: SoakDeployment,
  random: Random,
): Promise<void> {
  const duration = RESTS_MS[Math.floor(random() * RESTS_MS.length)]!;
  const share = random() < ALL_LIMITED_SHARE ? 1 : random();
  const resting = deployment.pickUpstreams(share);
  const until = performance.now() + randomDuration(random, REST_PERIOD_MS);
  while (performance.now() < until) {
    for (const upstream of resting) {
      upstream.limits.askForRest(duration);
    }
    await pause(randomDuration(random, REJECTION_MS));
    for (const upstream of resting) {
      upstream.limits.askForRest(undefined);
    }
    await pause(randomDuration(random, REJECTION_MS));
  }
}

/** Some upstreams, or all, crash for a while if they reject too much. */
async function limitRejections(
  deployment: SoakDeployment,
  random: Random,
): Promise<void> {
  const limit =
    REJECTION_LIMITS[Math.floor(random() * REJECTION_LIMITS.length)]!;
  const limited = deployment.pickUpstreams(0.5 + random());
  const { checks } = deployment;
  const before = checks.overloads;
  for (const upstream of limited) {
    upstream.limits.stateRejectionLimit(limit);
  }
  await pause(randomDuration(random, LIMIT_DURATION_MS));
  for (const upstream of limited) {
    upstream.limits.stateRejectionLimit(undefined);
  }
  const crashed = checks.overloads - before;
  if (crashed > TOLERATED_OVERLOADS + limited.length / 10) {
    checks.report(
      "overload",
      `${crashed} of ${limited.length} upstreams crashed that can reject ` +
        `${limit} requests a second`,
    );
  }
}

/** Upstreams respond with bytes without end for a while. */
async function sendBytesWithoutEnd(
  deployment: SoakDeployment,
  random: Random,
): Promise<void> {
  const faulty = deployment.pickUpstreams(ENDLESS_SHARE);
  for (const upstream of faulty) {
    upstream.isEndless = true;
  }
  await pause(randomDuration(random, ENDLESS_DURATION_MS));
  for (const upstream of faulty) {
    upstream.isEndless = false;
  }
}

/** Stops some entries in a series whose grace periods overlap. */
async function stopEntries(deployment: SoakDeployment): Promise<void> {
  const random = () => deployment.random();
  const entries = deployment.activeMachines().filter(({ hasReplica }) =>
    !hasReplica
  );
  const stopping: Promise<void>[] = [];
  const stops = 1 + Math.floor(random() * MAX_STOPS);
  for (let stopped = 0; stopped < stops; stopped += 1) {
    const [machine] = entries.splice(Math.floor(random() * entries.length), 1);
    if (machine !== undefined) {
      stopping.push(stopEntry(deployment, machine));
      await pause(randomDuration(random, STOP_INTERVAL_MS));
    }
  }
  await Promise.all(stopping);
}

/**
 * Faults that run at any time beside those of control VMs. They are reported
 * under their function names.
 */
export const backgroundFaultScenarios: readonly FaultScenario[] = [
  disturbEntry,
  disturbEntry,
  addEntry,
  publish,
  leave,
  repeatCrashing,
  crashUpstreams,
  limitRates,
  limitRejections,
  askForRest,
  cutFromUpstreams,
  sendBytesWithoutEnd,
  stopEntries,
  ...versionFaultScenarios,
];
