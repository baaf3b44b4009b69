import type { Random } from "@heroncleat/base";
import type { SoakDeployment } from "./soak_deployment.ts";

/**
 * Something that goes wrong in a deployment; resolves when all is back. Random
 * numbers are of its series, so that the troubles of a seed stay the same.
 */
export type FaultScenario = (
  deployment: SoakDeployment,
  random: Random,
) => Promise<void>;
