import type { Milliseconds, Random } from "@heroncleat/base";
import { randomDuration } from "./random_duration.ts";
import { pause } from "./pause.ts";
import type { SoakDeployment } from "./soak_deployment.ts";
import type { AcknowledgedDeparture, SoakUpstream } from "./soak_upstream.ts";

/** Time from an acknowledged departure to the shutdown of the upstream. */
const SHUTDOWN_DELAY_MS = { min: 2500, spread: 6000 };
/** Share of the upstreams that report their departure without draining. */
const DEPARTING_SHARE = 0.6;

/** Makes an upstream of a zone, or of any zone, depart after adding another. */
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
  const mode = random() < DEPARTING_SHARE ? "departs" : "drains";
  return await startDeparture(deployment, random, { upstream, mode });
}

/** Makes an upstream report its departure, and shut down later. */
export async function startDeparture(
  deployment: SoakDeployment,
  random: Random,
  { upstream, mode }: { upstream: SoakUpstream; mode: "drains" | "departs" },
): Promise<AcknowledgedDeparture | undefined> {
  const departure = await upstream.depart(mode);
  if (departure !== undefined) {
    deployment.checks.drains.recordDeparture(departure);
  }
  const delay = randomDuration(random, SHUTDOWN_DELAY_MS);
  void shutDownLater(deployment, upstream, { mode, delay });
  return departure;
}

async function shutDownLater(
  deployment: SoakDeployment,
  upstream: SoakUpstream,
  { mode, delay }: { mode: "drains" | "departs"; delay: Milliseconds },
): Promise<void> {
  await pause(delay);
  await upstream.shutDown(mode);
  deployment.removeUpstream(upstream);
}
