import type { Random } from "@heroncleat/base";
import { randomDuration } from "./random_duration.ts";
import type { Machine } from "./machine.ts";
import { pause } from "./pause.ts";
import { replaceUpstream } from "./replace_upstream.ts";
import type { SoakDeployment } from "./soak_deployment.ts";
import type { FaultScenario } from "./fault_scenario.ts";

/** Time after a VM is back at which upstreams of its zone leave. */
const LEAVE_AFTER_RETURN = { min: 0, spread: 4500 };
/** How long a VM is gone. */
const AWAY = { min: 300, spread: 2500 };
/** How long a VM stands still, is cut off or has a bad disk or clock. */
const DISTURBED = { min: 1500, spread: 4000 };
/** How long all replicas are gone. */
const ALL_AWAY = { min: 200, spread: 600 };

/**
 * The replica that has just acknowledged a leave is lost, and entries start
 * again before the upstream has ended.
 */
async function loseAcknowledger(
  deployment: SoakDeployment,
  random: Random,
): Promise<void> {
  const zone = deployment.pickUpstream()?.zone;
  const leave = await replaceUpstream(deployment, random, { zone });
  const machine = deployment.activeMachines().find(({ operatorAddress }) =>
    operatorAddress === leave?.by
  );
  if (machine === undefined || zone === undefined) {
    return;
  }
  const end = deployment.beginControlDisturbance(machine.host);
  const isWhole = random() < 0.5;
  machine.signal("SIGKILL", isWhole ? machine.roles : ["control"]);
  await pause(randomDuration(random, { min: 300, spread: 1000 }));
  deployment.startMachine(machine);
  end();
  await restartEntries(deployment, random, zone);
}

/** Some entries of a zone are killed or stopped in turn and start again. */
async function restartEntries(
  deployment: SoakDeployment,
  random: Random,
  zone: string,
): Promise<void> {
  const entries = deployment.activeMachines().filter((machine) =>
    machine.zone === zone && !machine.hasReplica
  );
  for (const machine of entries) {
    if (random() < 0.5) {
      const end = deployment.beginDisturbance(machine.host);
      const isOrderly = random() < 0.3;
      machine.signal(isOrderly ? "SIGTERM" : "SIGKILL");
      await machine.waitForExit();
      await pause(randomDuration(random, { min: 0, spread: 600 }));
      deployment.startMachine(machine);
      end();
    }
  }
}

/** All control replicas are killed right after a leave was acknowledged. */
async function killAllControls(
  deployment: SoakDeployment,
  random: Random,
): Promise<void> {
  await replaceUpstream(deployment, random);
  const machines = deployment.replicaMachines();
  const ends = machines.map(({ host }) =>
    deployment.beginControlDisturbance(host)
  );
  for (const machine of machines) {
    machine.signal("SIGKILL", ["control"]);
  }
  await pause(randomDuration(random, ALL_AWAY));
  for (const machine of machines) {
    deployment.startMachine(machine);
  }
  ends.forEach((end) => end());
}

/** A VM of the core is killed and comes back, with its disk or without. */
async function killCore(
  deployment: SoakDeployment,
  random: Random,
): Promise<void> {
  const machine = drawControl(deployment, random);
  const losesDisk = random() < 0.5;
  await disturbOne(deployment, random, {
    machine,
    disturb: async () => {
      machine.signal("SIGKILL");
      await machine.waitForExit();
      if (losesDisk) {
        machine.wipeDisk();
      }
      await pause(randomDuration(random, AWAY));
    },
    restore: () => deployment.startMachine(machine),
  });
}

/** A VM of the core stands still and goes on. */
async function freezeCore(
  deployment: SoakDeployment,
  random: Random,
): Promise<void> {
  const machine = drawControl(deployment, random);
  await disturbOne(deployment, random, {
    machine,
    disturb: async () => {
      machine.signal("SIGSTOP");
      await leaveMeanwhile(deployment, random);
    },
    restore: () => machine.signal("SIGCONT"),
  });
}

/** A VM of the core is cut off from the core or from all, or one way. */
async function cutCore(
  deployment: SoakDeployment,
  random: Random,
): Promise<void> {
  const machine = drawControl(deployment, random);
  const others = random() < 0.5
    ? deployment.replicaMachines()
    : deployment.activeMachines();
  const isOneWay = random() < 0.3;
  const pairs: [string, string][] = [];
  for (const { host } of others.filter((each) => each !== machine)) {
    pairs.push([machine.host, host]);
    if (!isOneWay) {
      pairs.push([host, machine.host]);
    }
  }
  await disturbOne(deployment, random, {
    machine,
    disturb: async () => {
      pairs.forEach(([from, to]) => deployment.proxy.partition(from, to));
      await leaveMeanwhile(deployment, random);
    },
    restore: () =>
      pairs.forEach(([from, to]) => deployment.proxy.heal(from, to)),
  });
}

/** The disk of a VM of the core is slow, hangs or takes nothing. */
async function spoilDisk(
  deployment: SoakDeployment,
  random: Random,
): Promise<void> {
  const machine = drawControl(deployment, random);
  const kinds = [{ syncDelay: 60 }, { syncDelay: 2000 }, { isDiskFull: true }];
  const faults = kinds[Math.floor(random() * kinds.length)]!;
  await disturbOne(deployment, random, {
    machine,
    disturb: async () => {
      machine.injectFaults(faults);
      await leaveMeanwhile(deployment, random);
    },
    restore: () => machine.injectFaults({}),
  });
}

/** The wall clock of a VM of the core jumps, and back. */
async function stepClock(
  deployment: SoakDeployment,
  random: Random,
): Promise<void> {
  const machine = drawControl(deployment, random);
  const clockAhead = Math.round((random() - 0.5) * 8000);
  await disturbOne(deployment, random, {
    machine,
    disturb: async () => {
      machine.injectFaults({ clockAhead });
      await leaveMeanwhile(deployment, random);
    },
    restore: () => machine.injectFaults({}),
  });
}

/** A VM of the core goes for good; an empty one takes its place. */
async function replaceCore(
  deployment: SoakDeployment,
  random: Random,
): Promise<void> {
  const machine = drawControl(deployment, random);
  const isPlanned = random() < 0.4;
  const end = deployment.beginControlDisturbance(machine.host);
  if (!isPlanned) {
    machine.signal("SIGKILL");
    machine.removedAt = performance.now();
    await pause(randomDuration(random, AWAY));
  }
  const next = deployment.addMachine(machine.zone, {
    hasControlProcess: true,
    hasReplica: true,
  });
  deployment.startMachine(next);
  if (isPlanned) {
    await pause(randomDuration(random, { min: 1500, spread: 1500 }));
    machine.signal("SIGTERM");
    await machine.waitForExit();
    machine.removedAt = performance.now();
  }
  end();
  deployment.beginDisturbance(next.host)();
  await leaveAfterReturn(deployment, random, next);
}

/** VMs are stopped in good order and started again, one after the other. */
async function restartInTurn(
  deployment: SoakDeployment,
  random: Random,
): Promise<void> {
  for (const machine of deployment.activeMachines()) {
    if (random() < 0.6) {
      continue;
    }
    const end = machine.hasReplica
      ? deployment.beginControlDisturbance(machine.host)
      : deployment.beginDisturbance(machine.host);
    machine.signal("SIGTERM");
    const leaving = random() < 0.4
      ? replaceUpstream(deployment, random)
      : undefined;
    await machine.waitForExit();
    deployment.startMachine(machine);
    end();
    await leaving;
  }
}

/** Troubles of the core come one at a time; they must leave it time. */
export const controlFaultScenarios: readonly FaultScenario[] = [
  loseAcknowledger,
  killAllControls,
  killCore,
  freezeCore,
  cutCore,
  spoilDisk,
  stepClock,
  replaceCore,
  restartInTurn,
];

/** One VM is disturbed; upstreams of its zone leave soon after it is back. */
async function disturbOne(
  deployment: SoakDeployment,
  random: Random,
  { machine, disturb, restore }: {
    machine: Machine;
    disturb: () => Promise<void>;
    restore: () => void;
  },
): Promise<void> {
  const end = deployment.beginControlDisturbance(machine.host);
  await disturb();
  restore();
  end();
  await leaveAfterReturn(deployment, random, machine);
}

async function leaveMeanwhile(
  deployment: SoakDeployment,
  random: Random,
): Promise<void> {
  await pause(randomDuration(random, { min: 0, spread: 1500 }));
  const leaving = replaceUpstream(deployment, random);
  await pause(randomDuration(random, DISTURBED));
  // One that finds no replica tries for seconds, longer than the trouble is.
  void leaving;
}

async function leaveAfterReturn(
  deployment: SoakDeployment,
  random: Random,
  { zone }: Machine,
): Promise<void> {
  await pause(randomDuration(random, LEAVE_AFTER_RETURN));
  await replaceUpstream(deployment, random, { zone });
}

function drawControl(deployment: SoakDeployment, random: Random): Machine {
  const controls = deployment.replicaMachines();
  return controls[Math.floor(random() * controls.length)]!;
}
