import type { Random } from "@heroncleat/base";
import { randomDuration } from "./random_duration.ts";
import type { Machine } from "./machine.ts";
import { pause } from "./pause.ts";
import { replaceUpstream } from "./replace_upstream.ts";
import type { SoakDeployment } from "./soak_deployment.ts";
import type { FaultScenario } from "./fault_scenario.ts";

/** Delay between the recovery of a VM and departures in its zone. */
const DEPARTURE_DELAY_MS = { min: 0, spread: 4500 };
const VM_DOWNTIME_MS = { min: 300, spread: 2500 };
/** Duration of a suspension, a partition, or a disk or clock fault. */
const FAULT_DURATION_MS = { min: 1500, spread: 4000 };
const GROUP_DOWNTIME_MS = { min: 200, spread: 600 };

/**
 * Kills the replica that has just acknowledged a departure, and restarts
 * entries before the departing upstream shuts down.
 */
async function loseAcknowledger(
  deployment: SoakDeployment,
  random: Random,
): Promise<void> {
  const zone = deployment.pickUpstream()?.zone;
  const departure = await replaceUpstream(deployment, random, { zone });
  const machine = deployment.activeMachines().find(({ operatorAddress }) =>
    operatorAddress === departure?.by
  );
  if (machine === undefined || zone === undefined) {
    return;
  }
  const end = deployment.beginControlDisturbance(machine.host);
  const killsEntry = random() < 0.5;
  machine.signal("SIGKILL", killsEntry ? machine.roles : ["control"]);
  await pause(randomDuration(random, { min: 300, spread: 1000 }));
  deployment.startMachine(machine);
  end();
  await restartEntries(deployment, random, zone);
}

/** Kills or shuts down some entries of a zone in turn and restarts them. */
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
      const isGraceful = random() < 0.3;
      machine.signal(isGraceful ? "SIGTERM" : "SIGKILL");
      await machine.waitForExit();
      await pause(randomDuration(random, { min: 0, spread: 600 }));
      deployment.startMachine(machine);
      end();
    }
  }
}

/** Kills all control replicas right after a departure is acknowledged. */
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
  await pause(randomDuration(random, GROUP_DOWNTIME_MS));
  for (const machine of machines) {
    deployment.startMachine(machine);
  }
  ends.forEach((end) => end());
}

/**
 * Kills all entries at one moment, or all VMs, so that nobody remembers what
 * entries keep in memory.
 */
async function killAllEntries(
  deployment: SoakDeployment,
  random: Random,
): Promise<void> {
  const losesPower = random() < 0.5;
  const machines = deployment.activeMachines();
  const ends = machines.map(({ host, hasReplica }) =>
    losesPower && hasReplica
      ? deployment.beginControlDisturbance(host)
      : deployment.beginDisturbance(host)
  );
  for (const machine of machines) {
    machine.signal("SIGKILL", losesPower ? machine.roles : ["entry"]);
  }
  await pause(randomDuration(random, GROUP_DOWNTIME_MS));
  for (const machine of machines) {
    deployment.startMachine(machine);
  }
  ends.forEach((end) => end());
}

/** Kills and restarts a control VM, with its disk or with an empty one. */
async function killCore(
  deployment: SoakDeployment,
  random: Random,
): Promise<void> {
  const machine = pickReplicaMachine(deployment, random);
  const losesDisk = random() < 0.5;
  await disturbMachine(deployment, random, {
    machine,
    disturb: async () => {
      machine.signal("SIGKILL");
      await machine.waitForExit();
      if (losesDisk) {
        machine.wipeDisk();
      }
      await pause(randomDuration(random, VM_DOWNTIME_MS));
    },
    restore: () => deployment.startMachine(machine),
  });
}

/** Stops and resumes the processes of a control VM. */
async function freezeCore(
  deployment: SoakDeployment,
  random: Random,
): Promise<void> {
  const machine = pickReplicaMachine(deployment, random);
  await disturbMachine(deployment, random, {
    machine,
    disturb: async () => {
      machine.signal("SIGSTOP");
      await departDuringFault(deployment, random);
    },
    restore: () => machine.signal("SIGCONT"),
  });
}

/**
 * Partitions a control VM from the other control VMs or from all VMs, in one
 * direction or both.
 */
async function cutCore(
  deployment: SoakDeployment,
  random: Random,
): Promise<void> {
  const machine = pickReplicaMachine(deployment, random);
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
  await disturbMachine(deployment, random, {
    machine,
    disturb: async () => {
      pairs.forEach(([from, to]) => deployment.proxy.partition(from, to));
      await departDuringFault(deployment, random);
    },
    restore: () =>
      pairs.forEach(([from, to]) => deployment.proxy.heal(from, to)),
  });
}

/** Makes the disk of a control VM slow, very slow or full. */
async function spoilDisk(
  deployment: SoakDeployment,
  random: Random,
): Promise<void> {
  const machine = pickReplicaMachine(deployment, random);
  const kinds = [{ syncDelay: 60 }, { syncDelay: 2000 }, { isDiskFull: true }];
  const faults = kinds[Math.floor(random() * kinds.length)]!;
  await disturbMachine(deployment, random, {
    machine,
    disturb: async () => {
      machine.injectFaults(faults);
      await departDuringFault(deployment, random);
    },
    restore: () => machine.injectFaults({}),
  });
}

/** Steps the wall clock of a control VM and restores it. */
async function stepClock(
  deployment: SoakDeployment,
  random: Random,
): Promise<void> {
  const machine = pickReplicaMachine(deployment, random);
  const clockAhead = Math.round((random() - 0.5) * 8000);
  await disturbMachine(deployment, random, {
    machine,
    disturb: async () => {
      machine.injectFaults({ clockAhead });
      await departDuringFault(deployment, random);
    },
    restore: () => machine.injectFaults({}),
  });
}

/** Removes a control VM permanently and adds an empty replacement. */
async function replaceCore(
  deployment: SoakDeployment,
  random: Random,
): Promise<void> {
  const machine = pickReplicaMachine(deployment, random);
  const isPlanned = random() < 0.4;
  const end = deployment.beginControlDisturbance(machine.host);
  if (!isPlanned) {
    machine.signal("SIGKILL");
    machine.removedAt = performance.now();
    await pause(randomDuration(random, VM_DOWNTIME_MS));
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
  await departAfterRecovery(deployment, random, next);
}

/** Shuts down and restarts some VMs, one after the other. */
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
    const departing = random() < 0.4
      ? replaceUpstream(deployment, random)
      : undefined;
    await machine.waitForExit();
    deployment.startMachine(machine);
    end();
    await departing;
  }
}

/**
 * Faults of control VMs. They run one at a time with a recovery pause between
 * them, and are reported under their function names.
 */
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
  killAllEntries,
];

/** Injects a fault into one VM; upstreams of its zone depart after recovery. */
async function disturbMachine(
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
  await departAfterRecovery(deployment, random, machine);
}

async function departDuringFault(
  deployment: SoakDeployment,
  random: Random,
): Promise<void> {
  await pause(randomDuration(random, { min: 0, spread: 1500 }));
  const departing = replaceUpstream(deployment, random);
  await pause(randomDuration(random, FAULT_DURATION_MS));
  // Isn't awaited: without a reachable replica, retries outlast the fault.
  void departing;
}

async function departAfterRecovery(
  deployment: SoakDeployment,
  random: Random,
  { zone }: Machine,
): Promise<void> {
  await pause(randomDuration(random, DEPARTURE_DELAY_MS));
  await replaceUpstream(deployment, random, { zone });
}

function pickReplicaMachine(
  deployment: SoakDeployment,
  random: Random,
): Machine {
  const controls = deployment.replicaMachines();
  return controls[Math.floor(random() * controls.length)]!;
}
