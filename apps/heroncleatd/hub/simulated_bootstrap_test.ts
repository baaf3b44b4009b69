import { SimulatedBootstrap } from "./simulated_bootstrap.ts";

const RUNS = Number(process.env["FUZZ_RUNS"] ?? 1) * 20;
/** Period within which all VMs start. */
const START_SPREAD_MS = 300;
/** Time within which a group must form even if a seed restarts. */
const BOOTSTRAP_TIME_MS = 12_000;
const STEP_MS = 20;

/**
 * Zones, VMs with a disk per zone, and the losses that the group must tolerate.
 */
const DEPLOYMENTS = {
  "4 zones of 1 disk": { zones: 4, disks: 1, losses: 1 },
  "3 zones of 1 disk": { zones: 3, disks: 1, losses: 1 },
  "5 zones of 1 disk": { zones: 5, disks: 1, losses: 2 },
  "3 zones of 2 disks": { zones: 3, disks: 2, losses: 2 },
  "4 zones of 2 disks": { zones: 4, disks: 2, losses: 2 },
};

beforeEach(() => {
  jest.useFakeTimers();
});

afterEach(() => {
  jest.useRealTimers();
});

// Guards against two groups, or none, when seeds without a disk restart and
// lose their state during the bootstrap.
describe.each(Object.entries(DEPLOYMENTS))("%s", (_, deployment) => {
  test("form one group while one of the seeds restarts", async () => {
    for (let seed = 0; seed < RUNS; seed += 1) {
      const simulation = createSimulation(deployment, seed);
      await startAll(simulation);
      const { seedVms, random } = simulation;
      const victim = seedVms[Math.floor(random() * seedVms.length)]!;
      await advance(random() * 4000);
      await restart(simulation, victim);
      await advance(BOOTSTRAP_TIME_MS);
      expectOneGroup(simulation, deployment.losses);
      simulation.close();
    }
  });

  test("form one group while several VMs restart one after the other", async () => {
    for (let seed = 0; seed < RUNS; seed += 1) {
      const simulation = createSimulation(deployment, seed);
      await startAll(simulation);
      const { vms, random } = simulation;
      for (let count = 0; count < 6; count += 1) {
        const victim = vms[Math.floor(random() * vms.length)]!;
        await advance(random() * 1500);
        await restart(simulation, victim);
      }
      await advance(BOOTSTRAP_TIME_MS);
      expectOneGroup(simulation, deployment.losses);
      simulation.close();
    }
  });
});

test("seeds that all restarted at once receive the group from its members", async () => {
  const deployment = DEPLOYMENTS["4 zones of 1 disk"];
  for (let seed = 0; seed < RUNS; seed += 1) {
    const simulation = createSimulation(deployment, seed);
    await startAll(simulation);
    await advance(4000 + simulation.random() * 2000);
    const withoutGroup = simulation.replicas.find(({ founders }) =>
      founders === undefined
    );
    expect(withoutGroup).toBeUndefined();
    // A replica that lost its disk registers with seeds that lost their state.
    const lost = simulation.replicas[0]!;
    simulation.kill(lost);
    lost.founders = undefined;
    for (const vm of simulation.seedVms) {
      simulation.kill(vm);
    }
    await advance(300);
    for (const vm of new Set([...simulation.seedVms, lost])) {
      simulation.start(vm);
    }
    await advance(BOOTSTRAP_TIME_MS);
    expectOneGroup(simulation, deployment.losses);
    simulation.close();
  }
});

test("forms a smaller group after a timeout if there are too few disks", async () => {
  const simulation = createSimulation({ zones: 3, disks: 1, losses: 2 }, 1);
  await startAll(simulation);
  await advance(BOOTSTRAP_TIME_MS);
  expect(simulation.replicas.map(({ founders }) => founders?.length))
    .toEqual([3, 3, 3]);
});

function createSimulation(
  { zones, disks, losses }: { zones: number; disks: number; losses: number },
  seed: number,
): SimulatedBootstrap {
  const zone = [0, 1].map((index) => index < disks);
  return new SimulatedBootstrap(
    Array.from({ length: zones }, () => zone),
    { seed, losses, now: () => Date.now() },
  );
}

async function startAll(simulation: SimulatedBootstrap): Promise<void> {
  for (const vm of simulation.vms) {
    setTimeout(
      () => simulation.start(vm),
      simulation.random() * START_SPREAD_MS,
    );
  }
  await advance(START_SPREAD_MS);
}

async function restart(
  simulation: SimulatedBootstrap,
  vm: SimulatedBootstrap["vms"][number],
): Promise<void> {
  simulation.kill(vm);
  await advance(100 + simulation.random() * 900);
  simulation.start(vm);
}

/**
 * Advances the fake clock in steps, so that pending promises settle in between.
 */
async function advance(time: number): Promise<void> {
  for (let passed = 0; passed < time; passed += STEP_MS) {
    await jest.advanceTimersByTimeAsync(STEP_MS);
  }
}

function expectOneGroup(simulation: SimulatedBootstrap, losses: number): void {
  const groups = simulation.replicas.map(({ founders: initialMembers }) =>
    initialMembers?.map(({ name }) => name).join(" ")
  );
  expect(new Set(groups).size).toBe(1);
  expect(groups[0]).toBeDefined();
  const initialMembers = simulation.replicas[0]!.founders!;
  expect(initialMembers).toHaveLength(2 * losses + 1);
  const zones = new Set(initialMembers.map(({ zone }) => zone));
  expect(zones.size).toBe(
    Math.min(initialMembers.length, countZones(simulation)),
  );
}

function countZones(simulation: SimulatedBootstrap): number {
  return new Set(simulation.vms.map(({ member }) => member.zone)).size;
}
