import type { Milliseconds, Random } from "@heroncleat/base";
import type { SoakDeployment } from "./soak_deployment.ts";
import type { Machine } from "./machine.ts";
import type { LeaveAcknowledged, SoakUpstream } from "./soak_upstream.ts";

/** How long an upstream serves on after its leave was acknowledged. */
const SERVES_ON = { least: 2500, spread: 6000 };
/** Time after a VM is back at which upstreams of its zone leave. */
const LEAVE_AFTER_RETURN = { least: 0, spread: 4500 };
/** Time without another loss in the core, so that one is lost at once. */
const CATCH_UP: Milliseconds = 4500;

/** Something that goes wrong, from its begin until all is back. */
type Trouble = (deployment: SoakDeployment, random: Random) => Promise<void>;

/** One upstream leaves, and another one takes its place first. */
async function replaceUpstream(
  deployment: SoakDeployment,
  random: Random,
  { zone }: { zone?: string } = {},
): Promise<LeaveAcknowledged | undefined> {
  const upstream = deployment.drawUpstream(zone);
  if (upstream === undefined) {
    return undefined;
  }
  await deployment.addUpstream(upstream.zone);
  const manner = random() < 0.6 ? "departs" : "drains";
  const leave = await upstream.leave(manner);
  if (leave !== undefined) {
    deployment.checks.noteLeave(leave);
  }
  void endLater(deployment, upstream, {
    manner,
    after: draw(random, SERVES_ON),
  });
  return leave;
}

async function endLater(
  deployment: SoakDeployment,
  upstream: SoakUpstream,
  { manner, after }: { manner: "drains" | "departs"; after: Milliseconds },
): Promise<void> {
  await pause(after);
  await upstream.end(manner);
  deployment.dropUpstream(upstream);
}

/**
 * The replica that has just acknowledged a leave is lost, and entries start
 * again before the upstream has ended.
 */
async function loseAcknowledger(
  deployment: SoakDeployment,
  random: Random,
): Promise<void> {
  const upstream = deployment.drawUpstream();
  const leave = await replaceUpstream(deployment, random, {
    zone: upstream?.zone,
  });
  const machine = deployment.controls().find(({ operatorAddress }) =>
    operatorAddress === leave?.by
  );
  if (machine === undefined || upstream === undefined) {
    return;
  }
  const end = deployment.disturbCore(machine.host);
  const isWhole = random() < 0.5;
  machine.signal("SIGKILL", isWhole ? machine.roles : ["control"]);
  await pause(draw(random, { least: 300, spread: 1000 }));
  start(deployment, machine);
  end();
  await restartEntries(deployment, random, upstream.zone);
}

/** Some entries of a zone are killed or stopped in turn and start again. */
async function restartEntries(
  deployment: SoakDeployment,
  random: Random,
  zone: string,
): Promise<void> {
  const entries = deployment.present().filter((machine) =>
    machine.zone === zone && !machine.hasControl
  );
  for (const machine of entries) {
    if (random() < 0.5) {
      const end = deployment.disturb(machine.host);
      const isOrderly = random() < 0.3;
      machine.signal(isOrderly ? "SIGTERM" : "SIGKILL");
      await machine.ended();
      await pause(draw(random, { least: 0, spread: 600 }));
      start(deployment, machine);
      end();
    }
  }
}

/** A VM of the core is killed; upstreams leave soon after it is back. */
async function killCore(
  deployment: SoakDeployment,
  random: Random,
): Promise<void> {
  const machine = drawControl(deployment, random);
  const end = deployment.disturbCore(machine.host);
  machine.signal("SIGKILL");
  await pause(draw(random, { least: 300, spread: 2500 }));
  start(deployment, machine);
  end();
  await leaveAfterReturn(deployment, random, machine);
}

/** The same, and it comes back with an empty disk. */
async function wipeCore(
  deployment: SoakDeployment,
  random: Random,
): Promise<void> {
  const machine = drawControl(deployment, random);
  const end = deployment.disturbCore(machine.host);
  machine.signal("SIGKILL");
  await machine.ended();
  machine.wipe();
  await pause(draw(random, { least: 300, spread: 1500 }));
  start(deployment, machine);
  end();
  await leaveAfterReturn(deployment, random, machine);
}

/** A VM of the core stands still and goes on. */
async function freezeCore(
  deployment: SoakDeployment,
  random: Random,
): Promise<void> {
  const machine = drawControl(deployment, random);
  const end = deployment.disturbCore(machine.host);
  machine.signal("SIGSTOP");
  const leaving = replaceUpstream(deployment, random);
  await pause(draw(random, { least: 1000, spread: 4000 }));
  machine.signal("SIGCONT");
  end();
  await leaving;
  await leaveAfterReturn(deployment, random, machine);
}

/** A VM of the core is cut off, and upstreams leave meanwhile and after. */
async function cutCore(
  deployment: SoakDeployment,
  random: Random,
): Promise<void> {
  const machine = drawControl(deployment, random);
  const others = random() < 0.5 ? deployment.controls() : deployment.present();
  const isOneWay = random() < 0.3;
  const end = deployment.disturbCore(machine.host);
  const pairs: [string, string][] = [];
  for (const other of others.filter((each) => each !== machine)) {
    pairs.push([machine.host, other.host]);
    if (!isOneWay) {
      pairs.push([other.host, machine.host]);
    }
  }
  for (const [from, to] of pairs) {
    deployment.proxy.cut(from, to);
  }
  await pause(draw(random, { least: 500, spread: 2000 }));
  const leaving = replaceUpstream(deployment, random);
  await pause(draw(random, { least: 1500, spread: 3500 }));
  for (const [from, to] of pairs) {
    deployment.proxy.heal(from, to);
  }
  end();
  await leaving;
  await leaveAfterReturn(deployment, random, machine);
}

/** A VM of the core goes for good; an empty one takes its place. */
async function replaceCore(
  deployment: SoakDeployment,
  random: Random,
): Promise<void> {
  const machine = drawControl(deployment, random);
  const end = deployment.disturbCore(machine.host);
  const isPlanned = random() < 0.4;
  const options = { hasControl: true };
  if (!isPlanned) {
    machine.signal("SIGKILL");
    machine.isGone = true;
    await pause(draw(random, { least: 300, spread: 2000 }));
  }
  const next = deployment.addMachine(machine.zone, options);
  start(deployment, next);
  if (isPlanned) {
    await pause(draw(random, { least: 1500, spread: 1500 }));
    machine.signal("SIGTERM");
    await machine.ended();
    machine.isGone = true;
  }
  end();
  deployment.disturb(next.host)();
  await leaveAfterReturn(deployment, random, next);
}

/** VMs are stopped in good order and started again, one after the other. */
async function restartInTurn(
  deployment: SoakDeployment,
  random: Random,
): Promise<void> {
  const machines = deployment.present().filter(() => random() < 0.4);
  for (const machine of machines) {
    const end = machine.hasControl
      ? deployment.disturbCore(machine.host)
      : deployment.disturb(machine.host);
    machine.signal("SIGTERM");
    const leaving = random() < 0.4
      ? replaceUpstream(deployment, random)
      : undefined;
    await machine.ended();
    start(deployment, machine);
    end();
    await leaving;
  }
}

/** Nothing is lost in the core; entries come, go, hang and lose links. */
async function disturbEntry(
  deployment: SoakDeployment,
  random: Random,
): Promise<void> {
  const plain = deployment.present().filter(({ hasControl }) => !hasControl);
  const machine = plain[Math.floor(random() * plain.length)];
  if (machine === undefined) {
    return;
  }
  const kind = Math.floor(random() * 5);
  const end = deployment.disturb(machine.host);
  if (kind === 0) {
    machine.signal("SIGKILL");
    await pause(draw(random, { least: 300, spread: 1500 }));
    start(deployment, machine);
  } else if (kind === 1) {
    machine.signal("SIGSTOP");
    await pause(draw(random, { least: 500, spread: 4000 }));
    machine.signal("SIGCONT");
  } else if (kind === 2) {
    for (const { host } of deployment.controls()) {
      deployment.proxy.silence(machine.host, host);
    }
  } else if (kind === 3) {
    deployment.proxy.reset(machine.host);
  } else {
    deployment.proxy.delay(machine.host, 100 * random());
    await pause(2000);
    deployment.proxy.delay(machine.host, 0);
  }
  end();
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
  const zone = deployment.zones[at]!;
  const machine = deployment.addMachine(zone, { hasControl: false });
  deployment.disturb(machine.host)();
  start(deployment, machine);
}

/** VMs that one machine bears beside its callers and upstreams. */
const MOST_MACHINES = 18;

async function publish(deployment: SoakDeployment): Promise<void> {
  await deployment.publish();
}

/** Troubles of the core come one at a time; they must leave it time. */
export const coreTroubles: readonly Trouble[] = [
  loseAcknowledger,
  killCore,
  wipeCore,
  freezeCore,
  cutCore,
  replaceCore,
  restartInTurn,
];

/** Troubles that come at any moment beside the others. */
export const sideTroubles: readonly Trouble[] = [
  disturbEntry,
  addEntry,
  publish,
  async function replaceOne(deployment, random) {
    await replaceUpstream(deployment, random);
  },
];

/** Waits until another VM of the core may be lost. */
export function catchUp(): Promise<void> {
  return pause(CATCH_UP);
}

async function leaveAfterReturn(
  deployment: SoakDeployment,
  random: Random,
  machine: Machine,
): Promise<void> {
  await pause(draw(random, LEAVE_AFTER_RETURN));
  await replaceUpstream(deployment, random, { zone: machine.zone });
}

function start(deployment: SoakDeployment, machine: Machine): void {
  machine.start({ seeds: deployment.seeds(), isFirstStart: false });
}

function drawControl(deployment: SoakDeployment, random: Random): Machine {
  const controls = deployment.controls();
  return controls[Math.floor(random() * controls.length)]!;
}

function draw(
  random: Random,
  { least, spread }: { least: Milliseconds; spread: Milliseconds },
): Milliseconds {
  return least + random() * spread;
}

function pause(time: Milliseconds): Promise<void> {
  return new Promise((resolve) => setTimeout(resolve, time));
}
