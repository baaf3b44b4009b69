import type { Milliseconds, Random } from "@heroncleat/base";
import { randomDuration } from "./random_duration.ts";
import { pause } from "./pause.ts";
import type { SoakDeployment } from "./soak_deployment.ts";
import type { AcknowledgedDeparture, SoakUpstream } from "./soak_upstream.ts";

/** How long an upstream serves on after its leave was acknowledged. */
const SERVES_ON = { min: 2500, spread: 6000 };
/** Part of the upstreams that say they leave once, and nothing more. */
const DEPARTING = 0.6;

/** One upstream leaves, of a zone or of any; another one takes its place. */
export async function replaceUpstream(
  deployment: SoakDeployment,
  random: Random,
  { zone }: { zone?: string } = {},
): Promise<AcknowledgedDeparture | undefined> {
  const upstream = deployment.pickUpstream(zone);
  if (upstream === undefined) {
    return undefined;
  }
  await deployment.addUpstream(upstream.zone);
  const mode = random() < DEPARTING ? "departs" : "drains";
  const leave = await upstream.depart(mode);
  if (leave !== undefined) {
    deployment.checks.recordDeparture(leave);
  }
  const after = randomDuration(random, SERVES_ON);
  void endLater(deployment, upstream, { mode, after });
  return leave;
}

async function endLater(
  deployment: SoakDeployment,
  upstream: SoakUpstream,
  { mode, after }: { mode: "drains" | "departs"; after: Milliseconds },
): Promise<void> {
  await pause(after);
  await upstream.shutDown(mode);
  deployment.removeUpstream(upstream);
}
