import type { Random } from "@heroncleat/base";
import { drawTime } from "./draw_time.ts";
import type { Machine } from "./machine.ts";
import { pause } from "./pause.ts";
import { replaceUpstream } from "./replace_upstream.ts";
import type { SoakDeployment } from "./soak_deployment.ts";
import type { Trouble } from "./trouble.ts";

/** VMs that one machine bears beside its callers and upstreams. */
const MOST_MACHINES = 18;
/** Longest delay of what an entry sends and receives, each way, in ms. */
const MOST_DELAY = 100;

/** What may happen to one entry. */
const entryTroubles: readonly ((
  deployment: SoakDeployment,
  random: Random,
  machine: Machine,
) => Promise<void>)[] = [
  async function kill(deployment, random, machine) {
    machine.signal("SIGKILL");
    await pause(drawTime(random, { least: 300, spread: 1500 }));
    deployment.startMachine(machine);
  },
  async function freeze(_deployment, random, machine) {
    machine.signal("SIGSTOP");
    await pause(drawTime(random, { least: 500, spread: 4000 }));
    machine.signal("SIGCONT");
  },
  async function silence(deployment, _random, machine) {
    for (const { host } of deployment.controls()) {
      deployment.proxy.silence(machine.host, host);
    }
  },
  async function reset(deployment, _random, machine) {
    deployment.proxy.reset(machine.host);
  },
  async function delay(deployment, random, machine) {
    deployment.proxy.delay(machine.host, MOST_DELAY * random());
    await pause(drawTime(random, { least: 1000, spread: 2000 }));
    deployment.proxy.delay(machine.host, 0);
  },
  async function stepClock(_deployment, random, machine) {
    machine.inject({ clockAhead: Math.round((random() - 0.5) * 8000) });
    await pause(drawTime(random, { least: 1000, spread: 3000 }));
    machine.inject({});
  },
];

/** Nothing is lost in the core; an entry hangs, goes or loses links. */
async function disturbEntry(
  deployment: SoakDeployment,
  random: Random,
): Promise<void> {
  const plain = deployment.present().filter(({ hasControl }) => !hasControl);
  const machine = plain[Math.floor(random() * plain.length)];
  const trouble = entryTroubles[Math.floor(random() * entryTroubles.length)]!;
  if (machine !== undefined) {
    const end = deployment.disturb(machine.host);
    await trouble(deployment, random, machine);
    end();
  }
}

/** A VM is added to the deployment. */
async function addEntry(
  deployment: SoakDeployment,
  random: Random,
): Promise<void> {
  if (deployment.present().length >= MOST_MACHINES) {
    return;
  }
  const at = Math.floor(random() * deployment.zones.length);
  const machine = deployment.addMachine(deployment.zones[at]!, {
    hasControl: false,
  });
  deployment.disturb(machine.host)();
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

/** Troubles that come at any moment beside the others. */
export const sideTroubles: readonly Trouble[] = [
  disturbEntry,
  disturbEntry,
  addEntry,
  publish,
  leave,
];
