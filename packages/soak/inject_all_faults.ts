import type { Milliseconds } from "@heroncleat/base";
import { backgroundFaultScenarios } from "./background_fault_scenarios.ts";
import { controlFaultScenarios } from "./control_fault_scenarios.ts";
import type { FaultInjection } from "./fault_mode.ts";
import { pause } from "./pause.ts";
import { randomDuration } from "./random_duration.ts";
import type { SoakDeployment } from "./soak_deployment.ts";

/** Pause between control faults, so that the group recovers from each. */
const CONTROL_PAUSE: Milliseconds = 4500;
/** Pause between background faults. */
const BACKGROUND_PAUSE_MS = { min: 300, spread: 1500 };

/** Injects faults of the control VMs, and of all else beside them. */
export async function injectAllFaults(
  deployment: SoakDeployment,
  injection: FaultInjection,
): Promise<void> {
  await Promise.all([
    injectControlFaults(deployment, injection),
    injectBackgroundFaults(deployment, injection),
  ]);
}

async function injectControlFaults(
  deployment: SoakDeployment,
  { until, note, createRandom }: FaultInjection,
): Promise<void> {
  const random = createRandom(1);
  while (performance.now() < until) {
    const at = Math.floor(random() * controlFaultScenarios.length);
    note(controlFaultScenarios[at]!.name);
    await controlFaultScenarios[at]!(deployment, random);
    await pause(CONTROL_PAUSE);
  }
}

async function injectBackgroundFaults(
  deployment: SoakDeployment,
  { until, note, createRandom }: FaultInjection,
): Promise<void> {
  const random = createRandom(2);
  const running: Promise<void>[] = [];
  while (performance.now() < until) {
    const at = Math.floor(random() * backgroundFaultScenarios.length);
    note(backgroundFaultScenarios[at]!.name);
    running.push(backgroundFaultScenarios[at]!(deployment, random));
    await pause(randomDuration(random, BACKGROUND_PAUSE_MS));
  }
  await Promise.all(running);
}
