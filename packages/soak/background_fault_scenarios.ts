import type { Random } from "@heroncleat/base";
import { randomDuration } from "./random_duration.ts";
import type { Machine } from "./machine.ts";
import { pause } from "./pause.ts";
import { replaceUpstream } from "./replace_upstream.ts";
import type { SoakDeployment } from "./soak_deployment.ts";
import type { FaultScenario } from "./fault_scenario.ts";

/** VMs that one machine bears beside its callers and upstreams. */
const MOST_MACHINES = 18;
/** Longest delay of what an entry sends and receives, each way, in ms. */
const MOST_DELAY = 100;

/** Time for which a caller repeats a request, and the pause between two. */
const REPEATED_FOR = { min: 6000, spread: 8000 };
const REPEAT_PAUSE = { min: 100, spread: 500 };
/** Upstreams of eight that end at the same moment by themselves. */
const MOST_CRASHED = 3;

/** What may happen to one entry. */
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
  async function silence(deployment, _random, machine) {
    for (const { host } of deployment.replicaMachines()) {
      deployment.proxy.blackhole(machine.host, host);
    }
  },
  async function reset(deployment, _random, machine) {
    deployment.proxy.reset(machine.host);
  },
  async function delay(deployment, random, machine) {
    deployment.proxy.delay(machine.host, MOST_DELAY * random());
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
];

/** Nothing is lost in the core; an entry hangs, goes or loses links. */
async function disturbEntry(
  deployment: SoakDeployment,
  random: Random,
): Promise<void> {
  const plain = deployment.activeMachines().filter(({ hasReplica }) =>
    !hasReplica
  );
  const machine = plain[Math.floor(random() * plain.length)];
  const trouble =
    entryFaultScenarios[Math.floor(random() * entryFaultScenarios.length)]!;
  if (machine !== undefined) {
    const end = deployment.beginDisturbance(machine.host);
    await trouble(deployment, random, machine);
    end();
  }
}

/** A VM is added to the deployment. */
async function addEntry(
  deployment: SoakDeployment,
  random: Random,
): Promise<void> {
  if (deployment.activeMachines().length >= MOST_MACHINES) {
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
  await deployment.publish();
}

async function leave(
  deployment: SoakDeployment,
  random: Random,
): Promise<void> {
  await replaceUpstream(deployment, random);
}

/**
 * A caller sends a request that ends each upstream that runs it again and
 * again, at any entry.
 */
async function repeatCrashing(
  deployment: SoakDeployment,
  random: Random,
): Promise<void> {
  const { crashing } = deployment;
  const request = crashing.create({ isNonIdempotent: random() < 0.5 });
  const until = performance.now() + randomDuration(random, REPEATED_FOR);
  while (performance.now() < until) {
    await crashing.send(request);
    await pause(randomDuration(random, REPEAT_PAUSE));
  }
}

/** Some upstreams end at the same moment, and run again later. */
async function crashUpstreams(
  deployment: SoakDeployment,
  random: Random,
): Promise<void> {
  const count = 1 + Math.floor(random() * MOST_CRASHED);
  for (let crashed = 0; crashed < count; crashed += 1) {
    void deployment.pickUpstream()?.crash();
  }
  await pause(0);
}

/** Troubles that come at any moment beside the others. */
export const backgroundFaultScenarios: readonly FaultScenario[] = [
  disturbEntry,
  disturbEntry,
  addEntry,
  publish,
  leave,
  repeatCrashing,
  crashUpstreams,
];
