import type { Milliseconds, Random } from "@heroncleat/base";
import { drawTime } from "./draw_time.ts";
import { pause } from "./pause.ts";
import type { SoakDeployment } from "./soak_deployment.ts";
import type { LeaveAcknowledged, SoakUpstream } from "./soak_upstream.ts";

/** How long an upstream serves on after its leave was acknowledged. */
const SERVES_ON = { least: 2500, spread: 6000 };
/** Part of the upstreams that say they leave once, and nothing more. */
const DEPARTING = 0.6;

/** One upstream leaves, of a zone or of any; another one takes its place. */
export async function replaceUpstream(
  deployment: SoakDeployment,
  random: Random,
  { zone }: { zone?: string } = {},
): Promise<LeaveAcknowledged | undefined> {
  const upstream = deployment.drawUpstream(zone);
  if (upstream === undefined) {
    return undefined;
  }
  await deployment.addUpstream(upstream.zone);
  const manner = random() < DEPARTING ? "departs" : "drains";
  const leave = await upstream.leave(manner);
  if (leave !== undefined) {
    deployment.checks.noteLeave(leave);
  }
  const after = drawTime(random, SERVES_ON);
  void endLater(deployment, upstream, { manner, after });
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
