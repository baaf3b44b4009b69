import type { Random } from "@heroncleat/base";
import type { SoakDeployment } from "./soak_deployment.ts";

/**
 * Injects a fault into a deployment; resolves when the fault is over. Each
 * series of scenarios has its own random numbers, so that a seed always gives
 * the same series.
 */
export type FaultScenario = (
  deployment: SoakDeployment,
  random: Random,
) => Promise<void>;
